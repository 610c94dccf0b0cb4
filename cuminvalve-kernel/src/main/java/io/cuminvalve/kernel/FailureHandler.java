package io.cuminvalve.kernel;

import org.tinylog.Logger;

/**
 * Handles uncaught exceptions of tasks that run on an executor.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface FailureHandler {

  /**
   * Handles a failure. Called on the thread of the failed task.
   *
   * @param executor the name of the executor; not null
   * @param failure what the task threw; not null
   */
  void onFailure(String executor, Throwable failure);

  /**
   * Returns a handler that logs the failure; the executor continues.
   *
   * @return never null
   */
  static FailureHandler logging() {
    return (executor, failure) -> Logger.error(failure, "Task failed on executor {}", executor);
  }
}
