package io.cuminvalve.gateway.control;

import io.cuminvalve.kernel.MillisClock;

/**
 * Detects that the store refuses calls of this process or does not respond to them.
 *
 * <p>Responses are recorded on the thread that delivers them. Otherwise a delayed control thread
 * would take its own delay for an unresponsive store, and the age limits on its data would be
 * lifted. Thread-safe.
 */
final class StoreResponseMonitor {

  private final MillisClock clock;
  private final long responseTimeoutMs;
  private long newestCall;
  private boolean responseDue;
  private long dueMs;
  private boolean refused;

  /**
   * Creates a monitor without any call.
   *
   * @param clock the time; not null
   * @param responseTimeoutMs how long a response may take in addition to the wait of its call;
   *     milliseconds
   */
  StoreResponseMonitor(MillisClock clock, long responseTimeoutMs) {
    this.clock = clock;
    this.responseTimeoutMs = responseTimeoutMs;
  }

  /** Records a call that waits up to {@code waitMs} for a change. Call numbers increase. */
  synchronized void onCall(long number, long waitMs) {
    newestCall = number;
    if (!responseDue) {
      responseDue = true;
      dueMs = clock.nowMs() + waitMs + responseTimeoutMs;
    }
  }

  /**
   * Records the response to a call. If a later call is pending, its response becomes due after
   * {@code waitMs} and the response time from now on.
   */
  synchronized void onResponse(long number, long waitMs) {
    refused = false;
    responseDue = number < newestCall;
    dueMs = clock.nowMs() + waitMs + responseTimeoutMs;
  }

  /** Records that a call was refused or failed. Only the newest call counts. */
  synchronized void onRefusal(long number) {
    refused |= number == newestCall;
  }

  /** Returns whether the newest call was refused or a response is overdue. */
  synchronized boolean isSilent() {
    return refused || (responseDue && clock.nowMs() > dueMs);
  }
}
