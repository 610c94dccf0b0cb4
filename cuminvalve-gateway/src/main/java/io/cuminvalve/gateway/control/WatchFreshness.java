package io.cuminvalve.gateway.control;

import io.cuminvalve.kernel.UpperTime;

/**
 * Computes the time as of which the response to a long poll of the store is valid.
 *
 * <p>{@link #validAsOf} must be called when the response arrives, on the thread that delivers it.
 * Time that a response spends in the queue of another thread must not make it look newer.
 *
 * @param sent when the call was sent; not null
 * @param sentMs the same time by the lower bound of the clock; milliseconds
 * @param waitMs how long the store may wait for a change; milliseconds
 */
record WatchFreshness(UpperTime sent, long sentMs, long waitMs) {

  /**
   * Returns the time as of which a response that has just arrived is valid. If it reports no change
   * after the whole wait, the store checked last at the end of the wait. Otherwise only the time of
   * sending is certain.
   *
   * @param unchanged whether the response reports no change
   * @param nowMs the time by the lower bound of the clock; milliseconds
   * @return never null
   */
  UpperTime validAsOf(boolean unchanged, long nowMs) {
    boolean waitElapsed = unchanged && nowMs - sentMs >= waitMs;
    return waitElapsed ? sent.plusMs(waitMs) : sent;
  }
}
