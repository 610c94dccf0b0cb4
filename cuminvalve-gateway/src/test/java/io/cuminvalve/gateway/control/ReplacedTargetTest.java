package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;
import static io.cuminvalve.gateway.control.FollowingGateway.A;
import static io.cuminvalve.gateway.control.FollowingGateway.B;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import io.cuminvalve.core.lease.LeaseOrder;
import io.cuminvalve.core.lease.LeaseTimings;
import io.cuminvalve.core.lease.OrderOutcome;
import io.cuminvalve.core.protocol.ServiceRanges;
import io.cuminvalve.core.protocol.TargetReplaced;
import io.cuminvalve.core.reach.ReachSignals;
import io.cuminvalve.core.route.CallerBounds;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.core.route.ServiceProfile;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.ports.lease.LeaseControl;
import io.cuminvalve.ports.lease.OrderReply;
import io.cuminvalve.testkit.time.VirtualClock;
import io.cuminvalve.testkit.time.VirtualExecutor;
import io.cuminvalve.wire.RecordCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks the report of a gateway that another target answers at the address of a key owner. */
class ReplacedTargetTest {

  private static final ServiceId SERVICE = new ServiceId("core");
  private static final LeaseTimings TIMINGS =
      new LeaseTimings(4_000, 10_000, 1_000, 2_000, 5, 200, 0.02, 150, 9_500);
  private static final String ADDRESS_OF_A = "127.0.0.1:9";
  private static final String ADDRESS_OF_B = "127.0.0.1:10";
  private static final long GRACE_MS = 9_500;

  /** Time until the first assignment is done; it waits for targets that register late. */
  private static final long SETTLE_MS = 8_000;

  private final VirtualClock clock = new VirtualClock(10_000);
  private final VirtualRegistry registry = new VirtualRegistry(clock);
  private final ControlThread control =
      new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(clock));
  private final RoutingState state = new RoutingState(2);
  private final DecisionLog log = new DecisionLog(clock, 100, line -> {});
  private final Targets targets = new Targets();
  private final TermLease lease =
      new TermLease(
          new TermStore(),
          control,
          clock,
          new SplittableRandom(1),
          log,
          new RecordCodec(),
          new TermHolderRecord("one", 1, "127.0.0.1:1"),
          false,
          1,
          () -> 0,
          GRACE_MS,
          PeerReliance.partial(() -> 1_000),
          new NoOpTermListener());
  private TermCoordinator coordinator;

  @BeforeEach
  void grantAllKeys() {
    registry.put(target(A, ADDRESS_OF_A));
    registry.put(target(B, ADDRESS_OF_B));
    state.update(
        snapshot ->
            snapshot.withConfiguration(
                new RoutingConfiguration(
                    1,
                    List.of(),
                    List.of(new ServiceProfile(SERVICE, true, 1_000)),
                    new CallerBounds(8_192, 1L << 20, 10_000, 60_000))));
    control.execute(lease::start);
    clock.advance(1_000);
    coordinator = newCoordinator();
    control.execute(coordinator::start);
    clock.advance(SETTLE_MS);
    assertThat(targets.grantsTo(A)).isNotEmpty();
    assertThat(targets.grantsTo(B)).isNotEmpty();
  }

  /**
   * Guards against two owners of a key after a late report: by then the next target instance under
   * the same name holds leases, and it cannot be reached to release them.
   */
  @Test
  void keysOfTheReplacedTargetStayClosedUntilItIsProvedThatNobodyHasThem() {
    targets.answers.put(ADDRESS_OF_A, OrderOutcome.UNANSWERED);
    final KeyRange keys = targets.lastKeysOf(A);
    final int grants = targets.grantsTo(B).size();
    report(A);
    clock.advance(1_000);
    assertThat(targets.newGrantsOf(B, keys, grants)).isEmpty();
    clock.advance(TIMINGS.boundMs(TIMINGS.leaseMs()));
    assertThat(targets.newGrantsOf(B, keys, grants)).isNotEmpty();
  }

  /**
   * Guards against keys that stay closed for a full lease although an answer proves that they are
   * free.
   */
  @Test
  void keysOfTheReplacedTargetMoveOnceAnotherOneAnswersInItsPlace() {
    targets.answers.put(ADDRESS_OF_A, OrderOutcome.OTHER_TARGET);
    final KeyRange keys = targets.lastKeysOf(A);
    final int grants = targets.grantsTo(B).size();
    report(A);
    clock.advance(200);
    assertThat(targets.newGrantsOf(B, keys, grants)).isNotEmpty();
  }

  private void report(TargetId replaced) {
    control.execute(() -> coordinator.onReport(new TargetReplaced(replaced)));
  }

  private TermCoordinator newCoordinator() {
    return new TermCoordinator(
        new GatewayPorts(
            new MemoryStore(),
            "configuration",
            bytes -> null,
            bytes -> Set.of(),
            registry.new Reader(),
            targets,
            null),
        state,
        control,
        clock,
        log,
        new RecordCodec(),
        TIMINGS,
        2,
        lease,
        new NoOpListener(),
        false,
        target -> OptionalDouble.empty(),
        target -> {},
        ReachSignals.IGNORED);
  }

  private static FleetTarget target(TargetId id, String address) {
    return new FleetTarget(id, SERVICE, address, new DataCentreId("here"), 4, TargetPhase.READY, 0);
  }

  /** Simulated targets that answer lease orders at once with the configured outcome. */
  private static final class Targets implements LeaseControl {

    private final Map<String, OrderOutcome> answers = new HashMap<>();
    private final List<LeaseOrder.Grant> grants = new ArrayList<>();

    List<LeaseOrder.Grant> grantsTo(TargetId target) {
      return grants.stream().filter(grant -> grant.target().equals(target)).toList();
    }

    KeyRange lastKeysOf(TargetId target) {
      List<LeaseOrder.Grant> all = grantsTo(target);
      return all.get(all.size() - 1).range();
    }

    /** Returns the grants of these keys to a target after its first {@code since} grants. */
    List<LeaseOrder.Grant> newGrantsOf(TargetId target, KeyRange keys, int since) {
      List<LeaseOrder.Grant> all = grantsTo(target);
      return all.subList(since, all.size()).stream()
          .filter(grant -> grant.range().first() <= keys.last())
          .filter(grant -> keys.first() <= grant.range().last())
          .toList();
    }

    @Override
    public CompletableFuture<OrderReply> grant(
        String address, LeaseOrder.Grant order, BooleanSupplier mayBegin) {
      if (!mayBegin.getAsBoolean()) {
        return reply(OrderOutcome.NOT_SENT);
      }
      grants.add(order);
      return answer(address);
    }

    @Override
    public CompletableFuture<OrderReply> release(
        String address, LeaseOrder.Release order, BooleanSupplier mayBegin) {
      return mayBegin.getAsBoolean() ? answer(address) : reply(OrderOutcome.NOT_SENT);
    }

    private CompletableFuture<OrderReply> answer(String address) {
      return reply(answers.getOrDefault(address, OrderOutcome.DONE));
    }

    private static CompletableFuture<OrderReply> reply(OrderOutcome outcome) {
      return CompletableFuture.completedFuture(new OrderReply(outcome, Optional.empty(), false));
    }
  }

  private static final class NoOpListener implements TermCoordinator.Listener {

    @Override
    public void onTargets(long term, long version, List<FleetTarget> targets) {}

    @Override
    public void onRoutes(long term, long version, List<ServiceRanges> services) {}
  }

  private static final class NoOpTermListener implements TermLease.Listener {

    @Override
    public void onGained(long term) {}

    @Override
    public void onLost() {}

    @Override
    public void onOtherHolder(String peerAddress) {}
  }
}
