package io.cuminvalve.core.waiting;

/**
 * Decides whether a request waits for a place or is refused, and when a refused caller returns.
 *
 * <p>Load: more requests than places for seconds. A late response is worth more than a refusal, and
 * a refusal at once more than one after a long wait.
 *
 * @since 0.2
 */
public final class WaitPolicy {

  /**
   * Share of the time left for which a request may wait. A caller refused after that waits at most
   * a third of the rest, so more than four ninths are left for another attempt.
   */
  private static final double WAIT_SHARE = 1.0 / 3;

  /** Callers honour {@code Retry-After} up to this share of the time they have left. */
  private static final double RETURN_SHARE = 1.0 / 3;

  /** Random share added to the delay of a return, so that callers do not return together. */
  private static final double RETURN_SPREAD = 0.5;

  /** Round trip to the caller and late timers. */
  private static final long RESERVE_MS = 30;

  private WaitPolicy() {}

  /**
   * Returns how long a request may wait from now on.
   *
   * @param times the times of the request; not null
   * @param workMs the expected time from its place to its response; milliseconds
   * @param nowMs the current time; milliseconds
   * @return milliseconds; 0 if the response would miss the deadline
   */
  public static long patienceMs(RequestTimes times, long workMs, long nowMs) {
    long leftMs = times.leftMs(nowMs);
    return Math.max(0, Math.min((long) (leftMs * WAIT_SHARE), leftMs - workMs - RESERVE_MS));
  }

  /**
   * Returns whether a request waits in vain: it is not expected to get a place in time.
   *
   * @param estimate when it is expected to get one; not null
   * @param untilMs the time until which it may wait; milliseconds
   * @param nowMs the current time; milliseconds
   * @return whether to refuse it now
   */
  public static boolean isHopeless(WaitEstimate estimate, long untilMs, long nowMs) {
    return nowMs + estimate.waitMs() > untilMs;
  }

  /**
   * Returns the delay after which a refused caller is likely to be served.
   *
   * @param estimate when it would get a place here; not null
   * @param times the times of the request; not null
   * @param nowMs the current time; milliseconds
   * @param random a random number from 0 to 1
   * @return milliseconds; at most a third of the time left
   */
  public static long retryAfterMs(
      WaitEstimate estimate, RequestTimes times, long nowMs, double random) {
    double longestMs = times.leftMs(nowMs) * RETURN_SHARE;
    double firstMs = Math.min(estimate.waitMs(), longestMs / (1 + RETURN_SPREAD));
    return (long) (firstMs * (1 + RETURN_SPREAD * random));
  }
}
