package io.cuminvalve.testkit.time;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs a task after a delay, on virtual or real time.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TaskScheduler {

  /**
   * Schedules a task once.
   *
   * @param delayMs milliseconds from now; at least 0
   * @param task what to run; not null
   */
  void schedule(long delayMs, Runnable task);

  /**
   * Returns a scheduler on real time with one daemon thread.
   *
   * @return a new scheduler that lives as long as the process
   */
  static TaskScheduler system() {
    ScheduledExecutorService executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "stand-in-timer");
              thread.setDaemon(true);
              return thread;
            });
    return (delayMs, task) -> {
      var unused = executor.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    };
  }
}
