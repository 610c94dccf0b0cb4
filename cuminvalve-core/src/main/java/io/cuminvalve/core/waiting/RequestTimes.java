package io.cuminvalve.core.waiting;

/**
 * The times by which a request is worth an answer; times of the clock of the process.
 *
 * @param aimMs the end of its latency objective; milliseconds
 * @param deadlineMs the time after which no answer is of use; milliseconds
 * @since 0.2
 */
public record RequestTimes(long aimMs, long deadlineMs) {

  /**
   * Returns the time left until the deadline.
   *
   * @param nowMs the current time; milliseconds
   * @return milliseconds; at least 0
   */
  public long leftMs(long nowMs) {
    return Math.max(0, deadlineMs - nowMs);
  }
}
