package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.protocol.FleetMessage;
import io.cuminvalve.core.protocol.RoutesChange;
import io.cuminvalve.core.protocol.RoutesPush;
import io.cuminvalve.core.protocol.ServiceRanges;
import io.cuminvalve.core.protocol.TargetsChange;
import io.cuminvalve.core.protocol.TargetsPush;
import io.cuminvalve.core.reach.ReachShare;
import io.cuminvalve.kernel.UpperTime;
import java.util.List;
import org.junit.jupiter.api.Test;

class FleetViewTest {

  private static final ServiceId SERVICE = new ServiceId("core");
  private static final TargetId A = new TargetId("a");
  private static final TargetId B = new TargetId("b");
  private static final RangeRoute LOW = new RangeRoute(0, 9, A, true);
  private static final RangeRoute HIGH = new RangeRoute(10, 19, B, true);

  private static final ReachShare NO_TARGETS = new ReachShare(0, 0);

  private final FleetView holder = new FleetView(target -> 0);
  private final FleetView follower = new FleetView(target -> 0);

  @Test
  void theFirstMessagesOfTheTermAreComplete() {
    assertThat(holder.publishRoutes(5, 1, routes(LOW, HIGH))).isInstanceOf(RoutesPush.class);
    assertThat(holder.publishTargets(5, 1, List.of(target(A)))).isInstanceOf(TargetsPush.class);
  }

  @Test
  void laterMessagesHoldOnlyDifferences() {
    holder.publishRoutes(5, 1, routes(LOW, HIGH));
    RangeRoute closed = new RangeRoute(10, 19, B, false);
    RoutesChange change = (RoutesChange) holder.publishRoutes(5, 2, routes(LOW, closed));
    assertThat(change.services()).containsExactly(new ServiceRanges(SERVICE, List.of(closed)));

    holder.publishTargets(5, 1, List.of(target(A)));
    TargetsChange targets = (TargetsChange) holder.publishTargets(5, 2, List.of(target(B)));
    assertThat(targets.written()).containsExactly(target(B));
    assertThat(targets.removed()).containsExactly(A);
  }

  /** Otherwise the other gateways would send it as much as a warm one. */
  @Test
  void targetsThatAreColdAgainArePublished() {
    FleetTarget cold = target(A).withColdMs(3_000);
    holder.publishTargets(5, 1, List.of(cold));
    holder.publishTargets(5, 2, List.of(target(A), target(B)));
    TargetsChange again = (TargetsChange) holder.publishTargets(5, 3, List.of(cold, target(B)));
    assertThat(again.written()).containsExactly(cold);
    TargetsChange still = (TargetsChange) holder.publishTargets(5, 4, List.of(cold, target(B)));
    assertThat(still.written()).containsExactly(cold);
  }

  /** A target that was published as cold long ago is warm for a gateway that starts now. */
  @Test
  void startingGatewaysGetTheColdTimeThatIsLeft() {
    FleetView aged = new FleetView(target -> target.equals(A) ? 700 : 0);
    aged.publishTargets(5, 1, List.of(target(A).withColdMs(3_000), target(B).withColdMs(3_000)));
    assertThat(aged.withCurrentColdTimes(aged.targets()).targets())
        .containsExactly(target(A).withColdMs(700), target(B));
  }

  @Test
  void changesAreAppliedToKnownState() {
    receive(holder.publishRoutes(5, 1, routes(LOW, HIGH)));
    receive(holder.publishRoutes(5, 2, routes(LOW, new RangeRoute(10, 19, A, true))));
    receive(holder.publishTargets(5, 1, List.of(target(A))));
    receive(holder.publishTargets(5, 2, List.of(target(A), target(B))));
    assertThat(follower.routes().services()).isEqualTo(holder.routes().services());
    assertThat(follower.targets().targets()).containsExactly(target(A), target(B));
    assertThat(follower.hello("x", "dc", 1, 0, 0, 0, UpperTime.NEVER, 0, "", NO_TARGETS))
        .isEqualTo(holder.hello("x", "dc", 1, 0, 0, 0, UpperTime.NEVER, 0, "", NO_TARGETS));
  }

  @Test
  void changesAfterGapsAreRejected() {
    receive(holder.publishRoutes(5, 1, routes(LOW, HIGH)));
    holder.publishRoutes(5, 2, routes(LOW, new RangeRoute(10, 19, A, false)));
    FleetMessage third = holder.publishRoutes(5, 3, routes(LOW, new RangeRoute(10, 19, A, true)));
    assertThat(follower.apply((RoutesChange) third)).isFalse();
    assertThat(follower.routes().version()).isEqualTo(1);
  }

  @Test
  void messagesOfAnEarlierTermAreRejected() {
    receive(holder.publishRoutes(5, 1, routes(LOW, HIGH)));
    assertThat(follower.apply(new RoutesPush(4, 9, routes(HIGH)))).isFalse();
    assertThat(follower.apply(new TargetsPush(4, 9, List.of(target(B))))).isFalse();
  }

  @Test
  void invalidatedTargetsAreRequestedAgainAndStayInUse() {
    receive(holder.publishTargets(5, 1, List.of(target(A))));
    follower.invalidateTargets();
    assertThat(
            follower.hello("x", "dc", 1, 0, 0, 0, UpperTime.NEVER, 0, "", NO_TARGETS).targetsTerm())
        .isEqualTo(0);
    assertThat(follower.targets().targets()).containsExactly(target(A));
  }

  @Test
  void storedOwnersAreUsedUntilTheHolderSendsOthers() {
    assertThat(follower.applyStored(routes(LOW))).isTrue();
    assertThat(follower.applyStored(routes(HIGH))).isFalse();
    receive(holder.publishRoutes(5, 1, routes(LOW, HIGH)));
    assertThat(follower.applyStored(routes(LOW))).isFalse();
    assertThat(follower.routes().services()).isEqualTo(routes(LOW, HIGH));
  }

  private void receive(FleetMessage message) {
    boolean applied;
    if (message instanceof RoutesPush push) {
      applied = follower.apply(push);
    } else if (message instanceof RoutesChange change) {
      applied = follower.apply(change);
    } else if (message instanceof TargetsPush push) {
      applied = follower.apply(push);
    } else {
      applied = follower.apply((TargetsChange) message);
    }
    assertThat(applied).isTrue();
  }

  private static List<ServiceRanges> routes(RangeRoute... ranges) {
    return List.of(new ServiceRanges(SERVICE, List.of(ranges)));
  }

  private static FleetTarget target(TargetId id) {
    return new FleetTarget(
        id, SERVICE, "10.0.0.1:80", new DataCentreId("dc"), 4, TargetPhase.READY, 0);
  }
}
