package io.cuminvalve.kernel;

import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A single-threaded executor that owns the control state of a process.
 *
 * <p>Tasks run sequentially in the order of submission. If a task throws, the failure handler is
 * called and the thread continues with the next task; a periodic task keeps its period.
 *
 * @since 0.1
 */
public final class ControlThread implements Executor, AutoCloseable {

  private final String name;
  private final FailureHandler failureHandler;
  private final ScheduledExecutorService executor;

  /**
   * Creates the thread.
   *
   * @param name the name of the thread; not null
   * @param failureHandler called for each task that throws; not null
   */
  public ControlThread(String name, FailureHandler failureHandler) {
    this(name, failureHandler, newExecutor(name));
  }

  /**
   * Creates a control thread on a given executor that runs one task at a time, for tests with
   * virtual time.
   *
   * @param name the name of the thread; not null
   * @param failureHandler called for each task that throws; not null
   * @param executor runs the tasks; shut down by {@link #close()}; not null
   */
  public ControlThread(
      String name, FailureHandler failureHandler, ScheduledExecutorService executor) {
    this.name = name;
    this.failureHandler = failureHandler;
    this.executor = executor;
  }

  private static ScheduledExecutorService newExecutor(String name) {
    ScheduledThreadPoolExecutor executor =
        new ScheduledThreadPoolExecutor(1, NamedThreads.daemon(name));
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    return executor;
  }

  /**
   * Runs a task after all tasks submitted before it. Ignored after {@link #close()}.
   *
   * @param task the task; not null
   */
  @Override
  public void execute(Runnable task) {
    try {
      executor.execute(guarded(task));
    } catch (RejectedExecutionException closed) {
      // The executor is closed because the process is stopping; the result is not needed.
    }
  }

  /**
   * Runs a task once after a delay.
   *
   * @param task the task; not null
   * @param delayMs milliseconds from now
   * @return a handle to cancel the task; never null
   */
  public Future<?> schedule(Runnable task, long delayMs) {
    return executor.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a task repeatedly with a fixed delay.
   *
   * @param task the task; not null
   * @param periodMs milliseconds between the end of one run and the start of the next
   * @return a handle to cancel the task; never null
   */
  public Future<?> scheduleRepeatedly(Runnable task, long periodMs) {
    return executor.scheduleWithFixedDelay(
        guarded(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
  }

  /** Stops the thread and discards tasks that have not started. */
  @Override
  public void close() {
    executor.shutdownNow();
  }

  private Runnable guarded(Runnable task) {
    return NamedThreads.guarded(name, task, failureHandler);
  }
}
