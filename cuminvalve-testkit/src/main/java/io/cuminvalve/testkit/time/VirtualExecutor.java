package io.cuminvalve.testkit.time;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.RunnableScheduledFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs the tasks of a control thread on virtual time, on the thread that advances the clock.
 *
 * <p>A task that is due now runs when the clock is advanced next, if only by 0.
 *
 * @since 0.2
 */
public final class VirtualExecutor extends AbstractExecutorService
    implements ScheduledExecutorService {

  private final VirtualClock clock;
  private boolean shutdown;

  /**
   * Creates an executor.
   *
   * @param clock runs the tasks; not null
   */
  public VirtualExecutor(VirtualClock clock) {
    this.clock = clock;
  }

  @Override
  public void execute(Runnable task) {
    schedule(task, 0, TimeUnit.MILLISECONDS);
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    return schedule(
        () -> {
          task.run();
          return null;
        },
        delay,
        unit);
  }

  @Override
  public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
    if (shutdown) {
      throw new RejectedExecutionException("the executor is shut down");
    }
    long delayMs = unit.toMillis(delay);
    VirtualTask<V> made = new VirtualTask<>(task, clock.nowMs() + delayMs, 0);
    clock.schedule(delayMs, made);
    return made;
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      Runnable task, long initialDelay, long period, TimeUnit unit) {
    return scheduleWithFixedDelay(task, initialDelay, period, unit);
  }

  /** Tasks take no virtual time, so a fixed delay is a fixed rate. */
  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable task, long initialDelay, long delay, TimeUnit unit) {
    long delayMs = unit.toMillis(initialDelay);
    Callable<Void> call =
        () -> {
          task.run();
          return null;
        };
    VirtualTask<Void> made = new VirtualTask<>(call, clock.nowMs() + delayMs, unit.toMillis(delay));
    clock.schedule(delayMs, made);
    return made;
  }

  @Override
  public void shutdown() {
    shutdown = true;
  }

  @Override
  public List<Runnable> shutdownNow() {
    shutdown = true;
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return shutdown;
  }

  @Override
  public boolean isTerminated() {
    return shutdown;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return shutdown;
  }

  /** One task; does nothing once the executor is shut down. */
  private final class VirtualTask<V> extends FutureTask<V> implements RunnableScheduledFuture<V> {

    private final long periodMs;
    private long dueMs;

    VirtualTask(Callable<V> task, long dueMs, long periodMs) {
      super(task);
      this.dueMs = dueMs;
      this.periodMs = periodMs;
    }

    @Override
    public void run() {
      if (shutdown) {
        return;
      }
      if (!isPeriodic()) {
        super.run();
      } else if (runAndReset()) {
        dueMs = clock.nowMs() + periodMs;
        clock.schedule(periodMs, this);
      }
    }

    @Override
    public boolean isPeriodic() {
      return periodMs > 0;
    }

    @Override
    public long getDelay(TimeUnit unit) {
      return unit.convert(dueMs - clock.nowMs(), TimeUnit.MILLISECONDS);
    }

    @Override
    public int compareTo(Delayed other) {
      return Long.compare(getDelay(TimeUnit.MILLISECONDS), other.getDelay(TimeUnit.MILLISECONDS));
    }
  }
}
