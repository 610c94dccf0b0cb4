package io.cuminvalve.core.retry;

import io.cuminvalve.kernel.Backoff;
import java.util.OptionalLong;

/**
 * A circuit breaker that admits all calls to a service while the service answers, and otherwise one
 * trial call after each of a series of increasing pauses.
 *
 * <p>All components of a process that call the service share one breaker. A service that refuses a
 * process thus gets one call per pause from it, however many components have calls to make. The
 * result of a call that began before the breaker last opened is ignored, because it says nothing
 * about the state since then. Thread-safe.
 *
 * @since 0.2
 */
public final class CircuitBreaker {

  /**
   * A single failure may be due to a pooled connection that the other side had closed. The next
   * call opens a new connection.
   */
  private static final int FAILURES_TO_OPEN = 2;

  private final Backoff pauses;
  private boolean open;
  private long generation;
  private long trialAtMs;
  private int failures;

  /**
   * Creates a closed breaker.
   *
   * @param pauses the pauses before each trial; milliseconds; not null
   */
  public CircuitBreaker(Backoff pauses) {
    this.pauses = pauses;
  }

  /**
   * Requests permission for a call.
   *
   * @param nowMs the current time in milliseconds
   * @return the number to pass in when the call has ended; empty if the call must not be made
   */
  public synchronized OptionalLong begin(long nowMs) {
    if (open) {
      if (nowMs < trialAtMs) {
        return OptionalLong.empty();
      }
      trialAtMs = nowMs + pauses.nextMs();
    }
    return OptionalLong.of(generation);
  }

  /**
   * Records that the service answered a call.
   *
   * @param number the number returned by {@link #begin}
   */
  public synchronized void onAnswered(long number) {
    if (number == generation) {
      open = false;
      failures = 0;
      pauses.reset();
    }
  }

  /**
   * Records that the service refused a call.
   *
   * @param number the number returned by {@link #begin}
   * @param nowMs the current time in milliseconds
   */
  public synchronized void onRefused(long number, long nowMs) {
    if (number == generation && !open) {
      open(nowMs);
    }
  }

  /**
   * Records that a call got no answer.
   *
   * @param number the number returned by {@link #begin}
   * @param nowMs the current time in milliseconds
   */
  public synchronized void onFailed(long number, long nowMs) {
    if (number == generation && !open) {
      failures++;
      if (failures >= FAILURES_TO_OPEN) {
        open(nowMs);
      }
    }
  }

  private void open(long nowMs) {
    open = true;
    failures = 0;
    generation++;
    trialAtMs = nowMs + pauses.nextMs();
  }
}
