package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.route.WeightedService;
import io.cuminvalve.core.waiting.RequestTimes;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.router.request.Timers;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What the share of a target does to the choice of targets. */
class DispatcherPaceTest {

  private static final TargetId PACED = new TargetId("paced");
  private static final TargetId WARM = new TargetId("warm");
  private static final Route ROUTE =
      new Route(
          "files",
          "h.example",
          "/a/",
          true,
          1_000,
          400,
          0,
          List.of(new WeightedService(TrafficFixture.SERVICE, 1)),
          2);

  /** In requests: four slots, with six requests for each of them, of one gateway. */
  private static final int LIMIT = 24;

  private final VirtualClock clock = new VirtualClock(10_000);
  private final RoutingState state = new RoutingState(1);
  private final List<Slot> placed = new ArrayList<>();
  private Dispatcher dispatcher;
  private double share = 0.125;

  @BeforeEach
  void setUp() {
    DecisionLog log = new DecisionLog(clock, 1, line -> {});
    Timers timers = (task, delayMs) -> () -> {};
    state.watch(clock::upper, () -> 1_900, () -> true);
    dispatcher =
        new Dispatcher(
            state,
            TrafficFixture.HERE,
            clock,
            new SplittableRandom(1),
            new TargetQuotas(clock, log, timers, new SplittableRandom(2)),
            new TargetBackoffs(clock, timers, new SplittableRandom(3), log),
            target -> true,
            target -> target.id().equals(PACED) ? share : 1);
    state.update(snapshot -> snapshot.withTargets(List.of(target(PACED), target(WARM))));
  }

  @Test
  void requestsWithoutKeyPreferTargetsThatAreNotPaced() {
    submit(4, OptionalInt.empty());
    assertThat(placedAt(WARM)).isEqualTo(4);
  }

  /** Guards against requests that wait although a slot of a paced target is free. */
  @Test
  void requestsWithoutKeyUsePacedTargetsWhenNoOtherHasFreeSlots() {
    share = 0.001;
    submit(LIMIT + 4, OptionalInt.empty());
    assertThat(placedAt(WARM)).isEqualTo(LIMIT);
    assertThat(placedAt(PACED)).isEqualTo(4);
  }

  @Test
  void requestsWithKeyGetTheShareOfTheLimitOfTheirOwner() {
    setOwner();
    submit(LIMIT, OptionalInt.of(7));
    assertThat(placedAt(PACED)).isEqualTo(LIMIT / 8);
    assertThat(dispatcher.waitingCount()).isEqualTo(LIMIT - LIMIT / 8);
  }

  @Test
  void requestsWithKeyAreSentOneAtOnceWithTheSmallestShare() {
    share = 0.001;
    setOwner();
    submit(2, OptionalInt.of(7));
    assertThat(placedAt(PACED)).isEqualTo(1);
    dispatcher.release(placed.get(0), request(OptionalInt.of(7)), AttemptOutcome.ANSWERED, 10);
    assertThat(placedAt(PACED)).isEqualTo(2);
  }

  private long placedAt(TargetId target) {
    return placed.stream().filter(slot -> slot.target().id().equals(target)).count();
  }

  private void submit(int count, OptionalInt key) {
    for (int i = 0; i < count; i++) {
      dispatcher.submit(request(key));
    }
  }

  private SlotRequest request(OptionalInt key) {
    return new SlotRequest(
        ROUTE,
        TrafficFixture.SERVICE,
        key,
        0,
        new RequestTimes(clock.nowMs() + 400, clock.nowMs() + 1_000),
        new SlotRequest.Listener() {
          @Override
          public void onPlaced(Slot slot) {
            placed.add(slot);
          }

          @Override
          public void onRefused(TargetRefusal refusal) {
            throw new AssertionError("refused: " + refusal);
          }
        });
  }

  private void setOwner() {
    KeyOwners owners = new KeyOwners(List.of(new RangeRoute(0, 65_535, PACED, true)));
    state.update(
        snapshot ->
            snapshot.withOwners(Map.of(TrafficFixture.SERVICE, owners), new OwnersVersion(1, 1)));
  }

  private static FleetTarget target(TargetId id) {
    return new FleetTarget(
        id, TrafficFixture.SERVICE, id + ":1", TrafficFixture.HERE, 4, TargetPhase.READY, 0);
  }
}
