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
import io.cuminvalve.kernel.UpperTime;
import java.util.List;
import org.junit.jupiter.api.Test;

class FleetViewTest {

  private static final ServiceId SERVICE = new ServiceId("core");
  private static final TargetId A = new TargetId("a");
  private static final TargetId B = new TargetId("b");
  private static final RangeRoute LOW = new RangeRoute(0, 9, A, true);
  private static final RangeRoute HIGH = new RangeRoute(10, 19, B, true);

  private final FleetView holder = new FleetView();
  private final FleetView other = new FleetView();

  @Test
  void theFirstNewsOfTheTermIsWhole() {
    assertThat(holder.publishRoutes(5, 1, routes(LOW, HIGH))).isInstanceOf(RoutesPush.class);
    assertThat(holder.publishTargets(5, 1, List.of(target(A)))).isInstanceOf(TargetsPush.class);
  }

  @Test
  void laterNewsAreOnlyWhatDiffers() {
    holder.publishRoutes(5, 1, routes(LOW, HIGH));
    RangeRoute closed = new RangeRoute(10, 19, B, false);
    RoutesChange change = (RoutesChange) holder.publishRoutes(5, 2, routes(LOW, closed));
    assertThat(change.services()).containsExactly(new ServiceRanges(SERVICE, List.of(closed)));

    holder.publishTargets(5, 1, List.of(target(A)));
    TargetsChange targets = (TargetsChange) holder.publishTargets(5, 2, List.of(target(B)));
    assertThat(targets.written()).containsExactly(target(B));
    assertThat(targets.removed()).containsExactly(A);
  }

  @Test
  void changesPatchWhatIsKnown() {
    hear(holder.publishRoutes(5, 1, routes(LOW, HIGH)));
    hear(holder.publishRoutes(5, 2, routes(LOW, new RangeRoute(10, 19, A, true))));
    hear(holder.publishTargets(5, 1, List.of(target(A))));
    hear(holder.publishTargets(5, 2, List.of(target(A), target(B))));
    assertThat(other.routes().services()).isEqualTo(holder.routes().services());
    assertThat(other.targets().targets()).containsExactly(target(A), target(B));
    assertThat(other.hello("x", "dc", 1, 0, 0, 0, UpperTime.NEVER, 0))
        .isEqualTo(holder.hello("x", "dc", 1, 0, 0, 0, UpperTime.NEVER, 0));
  }

  @Test
  void changesAfterGapsAreNotTaken() {
    hear(holder.publishRoutes(5, 1, routes(LOW, HIGH)));
    holder.publishRoutes(5, 2, routes(LOW, new RangeRoute(10, 19, A, false)));
    FleetMessage third = holder.publishRoutes(5, 3, routes(LOW, new RangeRoute(10, 19, A, true)));
    assertThat(other.apply((RoutesChange) third)).isFalse();
    assertThat(other.routes().version()).isEqualTo(1);
  }

  @Test
  void newsOfAnEarlierTermAreNone() {
    hear(holder.publishRoutes(5, 1, routes(LOW, HIGH)));
    assertThat(other.apply(new RoutesPush(4, 9, routes(HIGH)))).isFalse();
    assertThat(other.apply(new TargetsPush(4, 9, List.of(target(B))))).isFalse();
  }

  @Test
  void distrustedTargetsAreAskedForAgainAndStayInUse() {
    hear(holder.publishTargets(5, 1, List.of(target(A))));
    other.invalidateTargets();
    assertThat(other.hello("x", "dc", 1, 0, 0, 0, UpperTime.NEVER, 0).targetsTerm()).isEqualTo(0);
    assertThat(other.targets().targets()).containsExactly(target(A));
  }

  @Test
  void whatTheStoreSaysCountsUntilTheHolderSpeaks() {
    assertThat(other.applyStored(routes(LOW))).isTrue();
    assertThat(other.applyStored(routes(HIGH))).isFalse();
    hear(holder.publishRoutes(5, 1, routes(LOW, HIGH)));
    assertThat(other.applyStored(routes(LOW))).isFalse();
    assertThat(other.routes().services()).isEqualTo(routes(LOW, HIGH));
  }

  private void hear(FleetMessage message) {
    boolean taken;
    if (message instanceof RoutesPush push) {
      taken = other.apply(push);
    } else if (message instanceof RoutesChange change) {
      taken = other.apply(change);
    } else if (message instanceof TargetsPush push) {
      taken = other.apply(push);
    } else {
      taken = other.apply((TargetsChange) message);
    }
    assertThat(taken).isTrue();
  }

  private static List<ServiceRanges> routes(RangeRoute... ranges) {
    return List.of(new ServiceRanges(SERVICE, List.of(ranges)));
  }

  private static FleetTarget target(TargetId id) {
    return new FleetTarget(
        id, SERVICE, "10.0.0.1:80", new DataCentreId("dc"), 4, TargetPhase.READY, 0);
  }
}
