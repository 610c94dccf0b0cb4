package io.cuminvalve.core.request;

/**
 * Decides whether and when to retry after a failed attempt.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RetryPolicy {

  /** Denotes that there is no further attempt. */
  long NO_RETRY = -1;

  /**
   * Decides on the retry after a failed attempt.
   *
   * @param failedAttempts the number of failed attempts so far; at least 1
   * @param remainingMs milliseconds left until the deadline
   * @param nowMs the current time in milliseconds
   * @return the delay in milliseconds, or {@link #NO_RETRY}
   */
  long delayMs(int failedAttempts, long remainingMs, long nowMs);
}
