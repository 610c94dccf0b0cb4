package io.cuminvalve.gateway.control;

import io.cuminvalve.kernel.MillisClock;

/**
 * Tells whether the store refuses this process, or leaves it without an answer.
 *
 * <p>Answers are noted on the thread that brings them. A control thread that is late must not take
 * its own lateness for the store's silence: that would lift the bounds on the age of what it knows.
 * Safe for use by several threads.
 */
final class StoreResponseMonitor {

  private final MillisClock clock;
  private final long answerMs;
  private long newestCall;
  private boolean answerDue;
  private long dueMs;
  private boolean refused;

  /**
   * Creates a silence that has not begun.
   *
   * @param clock the time; not null
   * @param answerMs how long the store may take for an answer, beside its wait; milliseconds
   */
  StoreResponseMonitor(MillisClock clock, long answerMs) {
    this.clock = clock;
    this.answerMs = answerMs;
  }

  /** A call is made; it waits so long. Calls have growing numbers. */
  synchronized void onCall(long number, long waitMs) {
    newestCall = number;
    if (!answerDue) {
      answerDue = true;
      dueMs = clock.nowMs() + waitMs + answerMs;
    }
  }

  /** The store has answered a call; a later one, which may wait so long, is due from now on. */
  synchronized void onAnswer(long number, long waitMs) {
    refused = false;
    answerDue = number < newestCall;
    dueMs = clock.nowMs() + waitMs + answerMs;
  }

  /** A call was refused, or failed. */
  synchronized void onRefusal(long number) {
    refused |= number == newestCall;
  }

  synchronized boolean isSilent() {
    return refused || (answerDue && clock.nowMs() > dueMs);
  }
}
