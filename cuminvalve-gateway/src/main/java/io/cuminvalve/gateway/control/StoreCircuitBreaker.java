package io.cuminvalve.gateway.control;

import io.cuminvalve.core.retry.CircuitBreaker;
import io.cuminvalve.gateway.observe.StoreCallMetrics;
import io.cuminvalve.kernel.Backoff;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.ports.store.StoreCall;
import io.cuminvalve.ports.store.StoreCallGuard;
import io.cuminvalve.ports.store.StoreCallOutcome;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Counts the store calls of this process and limits them while the store refuses or fails calls.
 *
 * <p>Several components of each gateway retry their store calls independently, so a fleet can
 * overload a store that is unavailable or refuses it. All components of a gateway share this
 * circuit breaker. Without it 33 refused gateways made 1,400 calls per second.
 *
 * <p>Renewing and ending a lease are never rejected. Renewal is the only way for the holder to
 * learn that it still holds the term, and ending a lease frees the term for other processes.
 *
 * @since 0.2
 */
public final class StoreCircuitBreaker implements StoreCallGuard {

  /**
   * Backoff after the first refusal, before jitter shortens it. A short outage has ended by then.
   */
  private static final long INITIAL_BACKOFF_MS = 200;

  private final MillisClock clock;
  private final StoreCallMetrics metrics;
  private final CircuitBreaker breaker;

  /**
   * Creates a circuit breaker that permits all calls until one fails.
   *
   * @param clock the time; not null
   * @param metrics counts calls; not null
   * @param random jitter for the trial calls of several gateways; not null
   * @param maxBackoffMs maximum backoff, which bounds the time until a recovered store is detected;
   *     milliseconds; not null
   */
  public StoreCircuitBreaker(
      MillisClock clock,
      StoreCallMetrics metrics,
      RandomGenerator random,
      LongSupplier maxBackoffMs) {
    this.clock = clock;
    this.metrics = metrics;
    this.breaker = new CircuitBreaker(new Backoff(INITIAL_BACKOFF_MS, maxBackoffMs, random));
  }

  @Override
  public OptionalLong begin(StoreCall call) {
    if (isExempt(call)) {
      return OptionalLong.of(0);
    }
    OptionalLong number = breaker.begin(clock.nowMs());
    if (number.isEmpty()) {
      metrics.onEnded(call, StoreCallOutcome.HELD_BACK);
    }
    return number;
  }

  @Override
  public void onEnded(StoreCall call, long number, StoreCallOutcome outcome) {
    metrics.onEnded(call, outcome);
    if (isExempt(call)) {
      return;
    }
    switch (outcome) {
      case ANSWERED -> breaker.onAnswered(number);
      case REFUSED -> breaker.onRefused(number, clock.nowMs());
      case BROKEN, SILENT -> breaker.onFailed(number, clock.nowMs());
      default ->
          throw new IllegalArgumentException("outcome of a call that was not made: " + outcome);
    }
  }

  private static boolean isExempt(StoreCall call) {
    return call == StoreCall.LEASE_KEEP || call == StoreCall.LEASE_END;
  }
}
