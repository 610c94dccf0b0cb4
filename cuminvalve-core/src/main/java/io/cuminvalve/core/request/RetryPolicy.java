package io.cuminvalve.core.request;

/**
 * Decides whether and when an attempt that failed is followed by another.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RetryPolicy {

  /** Stands for no further attempt. */
  long NO_RETRY = -1;

  /**
   * Decides on one failed attempt.
   *
   * @param failedAttempts how many attempts failed so far, at least 1
   * @param remainingMs milliseconds left to the deadline
   * @param nowMs the current time in milliseconds
   * @return the delay in milliseconds, or {@link #NO_RETRY}
   */
  long delayMs(int failedAttempts, long remainingMs, long nowMs);
}
