package io.cuminvalve.router.wiring;

import io.cuminvalve.kernel.ManagedService;
import io.cuminvalve.router.request.Timers;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Deadlines and backoffs of requests, on a thread of their own.
 *
 * @since 0.1
 */
public final class RequestTimers implements Timers, ManagedService {

  private final ScheduledThreadPoolExecutor executor;

  /** Creates the timers. */
  public RequestTimers() {
    executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "request-timers");
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  @Override
  public Cancellable schedule(Runnable task, long delayMs) {
    try {
      Future<?> scheduled =
          executor.schedule(() -> runGuarded(task), delayMs, TimeUnit.MILLISECONDS);
      return () -> scheduled.cancel(false);
    } catch (RejectedExecutionException stopped) {
      return () -> {};
    }
  }

  @Override
  public void stop() {
    executor.shutdownNow();
  }

  private static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      Logger.error(e, "A timer of a request failed");
    }
  }
}
