package io.cuminvalve.gateway.control;

import io.cuminvalve.kernel.UpperTime;

/**
 * As of when the answer to a waiting call of the store is known to hold.
 *
 * <p>Whoever asks has to do so as soon as the answer is there, on whatever thread: what waits for
 * another thread does not become newer.
 *
 * @param sent when the call was sent; not null
 * @param sentMs the same, by the lower bound of the clock; milliseconds
 * @param waitMs how long the store was to wait for a change; milliseconds
 */
record WatchFreshness(UpperTime sent, long sentMs, long waitMs) {

  /**
   * Returns as of when an answer holds that has just arrived. Without a change the store looked
   * last when the wait was over, else no earlier than the call was sent.
   *
   * @param unchanged whether it tells of no change
   * @param nowMs the time by the lower bound of the clock; milliseconds
   * @return never null
   */
  UpperTime onAnswer(boolean unchanged, long nowMs) {
    boolean waited = unchanged && nowMs - sentMs >= waitMs;
    return waited ? sent.plusMs(waitMs) : sent;
  }
}
