package io.cuminvalve.core.retry;

import io.cuminvalve.kernel.Backoff;
import java.util.OptionalLong;

/**
 * Lets calls to one service through for as long as it answers, and else a single trial call at
 * growing pauses.
 *
 * <p>Everything in a process that calls the service shares one breaker. So a service that turns a
 * process away gets one call a pause from it, however many parts of the process want something of
 * it. A call that began before the breaker opened says nothing of what came after and is ignored.
 * Thread-safe.
 *
 * @since 0.2
 */
public final class CircuitBreaker {

  /**
   * A single call that breaks may have met a pooled connection that the other side had closed. The
   * next one opens another connection.
   */
  private static final int FAILURES_TO_OPEN = 2;

  private final Backoff pauses;
  private boolean open;
  private long period;
  private long trialAtMs;
  private int failures;

  /**
   * Creates a closed breaker.
   *
   * @param pauses how long to wait before each trial; milliseconds; not null
   */
  public CircuitBreaker(Backoff pauses) {
    this.pauses = pauses;
  }

  /**
   * Asks for a call.
   *
   * @param nowMs the time; milliseconds
   * @return the number to name when the call has ended; empty if it must not be made
   */
  public synchronized OptionalLong begin(long nowMs) {
    if (open) {
      if (nowMs < trialAtMs) {
        return OptionalLong.empty();
      }
      trialAtMs = nowMs + pauses.nextMs();
    }
    return OptionalLong.of(period);
  }

  /**
   * The service answered a call.
   *
   * @param number what {@link #begin} returned
   */
  public synchronized void onAnswered(long number) {
    if (number == period) {
      open = false;
      failures = 0;
      pauses.reset();
    }
  }

  /**
   * The service turned a call away.
   *
   * @param number what {@link #begin} returned
   * @param nowMs the time; milliseconds
   */
  public synchronized void onRefused(long number, long nowMs) {
    if (number == period && !open) {
      open(nowMs);
    }
  }

  /**
   * A call got no answer.
   *
   * @param number what {@link #begin} returned
   * @param nowMs the time; milliseconds
   */
  public synchronized void onFailed(long number, long nowMs) {
    if (number == period && !open) {
      failures++;
      if (failures >= FAILURES_TO_OPEN) {
        open(nowMs);
      }
    }
  }

  private void open(long nowMs) {
    open = true;
    failures = 0;
    period++;
    trialAtMs = nowMs + pauses.nextMs();
  }
}
