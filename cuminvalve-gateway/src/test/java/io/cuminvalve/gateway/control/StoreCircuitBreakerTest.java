package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.observe.StoreCallMetrics;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.fleet.RegistryChanges;
import io.cuminvalve.ports.fleet.RegistryListing;
import io.cuminvalve.ports.fleet.TargetRegistry;
import io.cuminvalve.ports.store.StoreCall;
import io.cuminvalve.ports.store.StoreCallGuard;
import io.cuminvalve.ports.store.StoreCallOutcome;
import io.cuminvalve.testkit.time.VirtualClock;
import io.cuminvalve.testkit.time.VirtualExecutor;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * The store refuses some or all gateways of a large fleet.
 *
 * <p>Of 95 gateways, 33 immediately receive 503 and 429 for 9 s while each of them follows two keys
 * and the registry. Without a shared circuit breaker they made 1,400 calls per second.
 */
class StoreCircuitBreakerTest {

  private static final long MAX_BACKOFF_MS = 2_000;
  private static final long ANSWER_MS = 4;
  private static final long RETRY_MS = 150;
  private static final int REFUSED_GATEWAYS = 33;

  /** Maximum call rate of the whole fleet while the store refuses calls. */
  private static final int MAX_CALLS_PER_SECOND = 60;

  private final VirtualClock clock = new VirtualClock(10_000);
  private final ControlThread control =
      new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(clock));
  private final DecisionLog log = new DecisionLog(clock, 100, line -> {});
  private final SplittableRandom random = new SplittableRandom(5);
  private final StoreCallMetrics metrics = new StoreCallMetrics();
  private boolean refusing;

  private StoreCircuitBreaker newBreaker() {
    return new StoreCircuitBreaker(clock, metrics, random.split(), () -> MAX_BACKOFF_MS);
  }

  @Test
  void refusedGatewaysMakeFewCalls() {
    refusing = true;
    for (int gateway = 0; gateway < REFUSED_GATEWAYS; gateway++) {
      startFollowers(newBreaker());
    }
    clock.advance(9_000);
    assertThat(metrics.made()).isAtLeast(REFUSED_GATEWAYS * 3L);
    assertThat(metrics.made()).isAtMost(9L * MAX_CALLS_PER_SECOND);
  }

  /** Shows the load without the breaker, when each component retries independently. */
  @Test
  void withoutBreakerGatewaysMakeManyCalls() {
    refusing = true;
    for (int gateway = 0; gateway < REFUSED_GATEWAYS; gateway++) {
      startFollowers(new CountingGuard(metrics));
    }
    clock.advance(9_000);
    assertThat(metrics.made()).isAtLeast(5 * 9L * MAX_CALLS_PER_SECOND);
  }

  @Test
  void endOfOutageIsDetectedWithinTheMaximumBackoffAndTheTrial() {
    refusing = true;
    final KeyFollower follower = startFollowers(newBreaker());
    clock.advance(9_000);
    refusing = false;
    // The trial call may be the watch of another component, followed by that of this follower.
    long waitMs = KeyFollower.SHORT_WAIT_MS + ANSWER_MS;
    clock.advance(MAX_BACKOFF_MS + waitMs + RETRY_MS + waitMs);
    assertThat(follower.ageMs()).isAtMost(waitMs + RETRY_MS);
  }

  @Test
  void leaseRenewalIsNeverRejected() {
    StoreCircuitBreaker circuitBreaker = newBreaker();
    circuitBreaker.onEnded(
        StoreCall.WATCH, beginOrFail(circuitBreaker, StoreCall.WATCH), StoreCallOutcome.REFUSED);
    assertThat(circuitBreaker.begin(StoreCall.WATCH)).isEmpty();
    assertThat(circuitBreaker.begin(StoreCall.LEASE_KEEP)).isPresent();
    assertThat(circuitBreaker.begin(StoreCall.LEASE_END)).isPresent();
    assertThat(metrics.count(StoreCall.WATCH, StoreCallOutcome.HELD_BACK)).isEqualTo(1);
  }

  @Test
  void responseToLeaseRenewalDoesNotCloseTheBreaker() {
    StoreCircuitBreaker circuitBreaker = newBreaker();
    circuitBreaker.onEnded(
        StoreCall.WATCH, beginOrFail(circuitBreaker, StoreCall.WATCH), StoreCallOutcome.REFUSED);
    long kept = beginOrFail(circuitBreaker, StoreCall.LEASE_KEEP);
    circuitBreaker.onEnded(StoreCall.LEASE_KEEP, kept, StoreCallOutcome.ANSWERED);
    assertThat(circuitBreaker.begin(StoreCall.WATCH)).isEmpty();
  }

  private static long beginOrFail(StoreCircuitBreaker circuitBreaker, StoreCall call) {
    OptionalLong number = circuitBreaker.begin(call);
    assertThat(number).isPresent();
    return number.getAsLong();
  }

  /**
   * Starts the followers of a gateway that knows no holder. Returns the follower of its first key.
   */
  private KeyFollower startFollowers(StoreCallGuard guard) {
    GuardedStore store = new GuardedStore(clock, guard, ANSWER_MS, () -> refusing);
    KeyFollower configuration = newFollower(store, "configuration");
    KeyFollower term = newFollower(store, "term");
    RegistryFollower registry =
        new RegistryFollower(
            new GuardedRegistry(store), control, clock, log, List.of(), UpperTime.NEVER, () -> {});
    control.execute(configuration::start);
    control.execute(term::start);
    control.execute(registry::start);
    return configuration;
  }

  private KeyFollower newFollower(GuardedStore store, String key) {
    return new KeyFollower(
        store, key, control, clock, log, RETRY_MS, PeerReliance.partial(() -> 2_390), result -> {});
  }

  /** Counts and permits all calls. */
  private record CountingGuard(StoreCallMetrics metrics) implements StoreCallGuard {

    @Override
    public OptionalLong begin(StoreCall call) {
      return OptionalLong.of(0);
    }

    @Override
    public void onEnded(StoreCall call, long number, StoreCallOutcome outcome) {
      metrics.onEnded(call, outcome);
    }
  }

  /** A registry backed by the same store. */
  private record GuardedRegistry(GuardedStore store) implements TargetRegistry {

    @Override
    public CompletableFuture<RegistryListing> list() {
      return store
          .call(StoreCall.LIST)
          .thenApply(
              answered ->
                  answered
                      ? new RegistryListing(true, List.of(), List.of(), 1, 0)
                      : RegistryListing.unavailable());
    }

    @Override
    public CompletableFuture<RegistryChanges> changes(long afterRevision, long waitMs) {
      return store
          .call(StoreCall.WATCH)
          .thenApply(
              answered ->
                  RegistryChanges.none(
                      answered
                          ? RegistryChanges.Status.ANSWERED
                          : RegistryChanges.Status.UNAVAILABLE));
    }
  }
}
