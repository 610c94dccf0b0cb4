package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static io.cuminvalve.gateway.control.FollowingGateway.A;
import static io.cuminvalve.gateway.control.FollowingGateway.B;
import static io.cuminvalve.gateway.control.FollowingGateway.target;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.lease.LeaseTimings;
import io.cuminvalve.core.protocol.ServiceRanges;
import io.cuminvalve.core.reach.ReachSignals;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.testkit.time.VirtualClock;
import io.cuminvalve.testkit.time.VirtualExecutor;
import io.cuminvalve.wire.RecordCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks what a gateway publishes to the others while it holds the term. */
class TermCoordinatorTest {

  private static final LeaseTimings TIMINGS =
      new LeaseTimings(4_000, 10_000, 1_000, 2_000, 700, 100, 0.02, 100, 9_500);
  private static final FleetTarget READY = target(A, TargetPhase.READY);

  private final VirtualClock clock = new VirtualClock(10_000);
  private final VirtualRegistry registry = new VirtualRegistry(clock);
  private final VirtualRegistry.Reader reader = registry.new Reader();
  private final ControlThread control =
      new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(clock));
  private final RoutingState state = new RoutingState(2);
  private final List<List<FleetTarget>> published = new ArrayList<>();

  private TermCoordinator coordinator() {
    DecisionLog log = new DecisionLog(clock, 1, line -> {});
    CursorStore store = new CursorStore(clock);
    TermLease lease =
        new TermLease(
            store,
            control,
            clock,
            new SplittableRandom(1),
            log,
            new RecordCodec(),
            new TermHolderRecord("one", 1, "127.0.0.1:1"),
            true,
            1,
            () -> 0,
            9_500,
            PeerReliance.partial(() -> 1_460),
            null);
    TermCoordinator.Listener listener =
        new TermCoordinator.Listener() {
          @Override
          public void onTargets(long term, long version, List<FleetTarget> targets) {
            published.add(targets);
          }

          @Override
          public void onRoutes(long term, long version, List<ServiceRanges> services) {}
        };
    return new TermCoordinator(
        new GatewayPorts(
            store, "configuration", bytes -> null, bytes -> Set.of(), reader, null, null),
        state,
        control,
        clock,
        log,
        new RecordCodec(),
        TIMINGS,
        2,
        lease,
        listener,
        false,
        target -> OptionalDouble.empty(),
        target -> {},
        ReachSignals.IGNORED);
  }

  /**
   * Guards against a holder that publishes the targets known before its term as current: a
   * departure of another target triggers a publication before the registry has answered.
   */
  @Test
  void targetsArePublishedOnlyOnceTheRegistryHasAnswered() {
    state.update(s -> s.withTargets(List.of(READY, target(B, TargetPhase.READY))));
    registry.put(target(A, TargetPhase.DRAINING));
    reader.silenceNextListings(1);
    TermCoordinator coordinator = coordinator();
    control.execute(coordinator::start);
    clock.advance(100);
    state.update(s -> s.withLeaving(Set.of(B)));
    coordinator.onDepartures();
    boolean publishedOutdated = published.stream().anyMatch(targets -> targets.contains(READY));
    assertWithMessage("published the target as ready before any registry answer")
        .that(publishedOutdated)
        .isFalse();
  }

  /**
   * Guards against a holder that reports its targets as up to date before the registry has
   * answered.
   */
  @Test
  void theAgeOfTheRegistryBeginsWithItsFirstAnswer() {
    reader.silenceNextListings(5);
    TermCoordinator coordinator = coordinator();
    control.execute(coordinator::start);
    clock.advance(1_000);
    assertThat(clock.upper().sinceMs(coordinator.targetsConfirmed()))
        .isGreaterThan(FleetLink.STALE_REGISTRY_MS);
  }
}
