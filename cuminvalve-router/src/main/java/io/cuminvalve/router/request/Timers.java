package io.cuminvalve.router.request;

/**
 * Runs tasks later.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Timers {

  /** Cancels a task that has not run. */
  @FunctionalInterface
  interface Cancellable {

    /** Makes sure that the task does not start any more, if it has not. */
    void cancel();
  }

  /**
   * Runs a task once.
   *
   * @param task the task, which must not block; not null
   * @param delayMs milliseconds from now
   * @return lets the caller cancel the task
   */
  Cancellable schedule(Runnable task, long delayMs);
}
