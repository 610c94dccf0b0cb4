package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.route.WeightedService;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DispatcherTest {

  private static final ServiceId SERVICE = new ServiceId("core");
  private static final DataCentreId HERE = new DataCentreId("here");
  private static final DataCentreId THERE = new DataCentreId("there");
  private static final TargetId NEAR = new TargetId("near");
  private static final TargetId FAR = new TargetId("far");

  private long ownersNumber;
  private final RoutingState state = new RoutingState(10);
  private final Dispatcher dispatcher =
      new Dispatcher(state, HERE, () -> 0, new SplittableRandom(1));
  private final List<String> placed = new ArrayList<>();
  private final List<Slot> slots = new ArrayList<>();

  @Test
  void requestsWithoutKeyStayInTheirDataCentre() {
    targets(target(NEAR, HERE, TargetPhase.READY), target(FAR, THERE, TargetPhase.READY));
    submit("one", 1, OptionalInt.empty());
    assertThat(slots.get(0).target().id()).isEqualTo(NEAR);
  }

  @Test
  void theOwnerOfTheKeyGetsItAsSoonAsItHasItsLease() {
    targets(target(NEAR, HERE, TargetPhase.READY), target(FAR, THERE, TargetPhase.READY));
    owner(FAR, false);
    PlacementWish wish = submit("one", 1, OptionalInt.of(7));
    assertThat(placed).isEmpty();
    assertThat(dispatcher.whyWaiting(wish)).isEqualTo("key_on_the_move");
    owner(FAR, true);
    assertThat(slots.get(0).target().id()).isEqualTo(FAR);
  }

  @Test
  void theMostUrgentOfThoseThatWaitIsFirst() {
    targets(target(NEAR, HERE, TargetPhase.READY));
    owner(NEAR, true);
    fill();
    PlacementWish late = submit("late", 2, OptionalInt.of(7));
    submit("urgent", 0, OptionalInt.of(7));
    assertThat(dispatcher.whyWaiting(late)).isEqualTo("owner_busy");
    int before = placed.size();
    dispatcher.giveBack(slots.get(0), late, AttemptEnd.GIVEN_UP, 0);
    assertThat(placed.subList(before, placed.size())).containsExactly("urgent");
  }

  @Test
  void nothingGoesToTargetsThatLeaveOrWereReplaced() {
    targets(target(NEAR, HERE, TargetPhase.DRAINING), target(FAR, THERE, TargetPhase.READY));
    submit("one", 1, OptionalInt.empty());
    assertThat(slots.get(0).target().id()).isEqualTo(FAR);
    dispatcher.onReplaced(FAR);
    submit("two", 1, OptionalInt.empty());
    assertThat(placed).containsExactly("one");
    assertThat(dispatcher.takeReplaced()).containsExactly(FAR);
    assertThat(dispatcher.takeReplaced()).isEmpty();
  }

  @Test
  void whoIsWithdrawnIsNotPlacedAnyMore() {
    targets(target(NEAR, HERE, TargetPhase.READY));
    PlacementWish wish = submit("one", 1, OptionalInt.of(7));
    assertThat(dispatcher.withdraw(wish)).isTrue();
    assertThat(dispatcher.withdraw(wish)).isFalse();
    owner(NEAR, true);
    assertThat(placed).isEmpty();
  }

  private void fill() {
    int waiting = dispatcher.waitingCount();
    while (dispatcher.waitingCount() == waiting) {
      submit("filler", 1, OptionalInt.of(7));
    }
  }

  private PlacementWish submit(String name, int priority, OptionalInt key) {
    Route route =
        new Route(
            name,
            "h.example",
            "/a/",
            true,
            1_000,
            400,
            priority,
            List.of(new WeightedService(SERVICE, 1)),
            2);
    PlacementWish wish =
        new PlacementWish(
            route,
            SERVICE,
            key,
            slot -> {
              placed.add(name);
              slots.add(slot);
            });
    dispatcher.submit(wish);
    return wish;
  }

  private void targets(FleetTarget... targets) {
    state.update(snapshot -> snapshot.withTargets(List.of(targets)));
  }

  private void owner(TargetId id, boolean open) {
    KeyOwners owners = new KeyOwners(List.of(new RangeRoute(0, 65_535, id, open)));
    state.update(
        snapshot ->
            snapshot.withOwners(Map.of(SERVICE, owners), new OwnersVersion(1, ++ownersNumber)));
  }

  private static FleetTarget target(TargetId id, DataCentreId where, TargetPhase phase) {
    return new FleetTarget(id, SERVICE, id + ":1", where, 4, phase, 0);
  }
}
