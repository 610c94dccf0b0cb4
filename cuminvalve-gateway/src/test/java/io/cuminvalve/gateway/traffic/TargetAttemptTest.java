package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** An attempt checks the state of its target right before the first byte, not only at placement. */
class TargetAttemptTest {

  private static final long CONNECT_MS = 300;
  private static final TargetId A = new TargetId("a");

  private final VirtualClock clock = new VirtualClock(10_000);
  private final RoutingState state = new RoutingState(1);
  private final TrafficFixture traffic = new TrafficFixture(state, clock);

  private TrafficFixture.Placed placed() {
    state.update(snapshot -> snapshot.withTargets(List.of(target(TargetPhase.READY))));
    state.confirmTargets(clock.upper());
    return traffic.place().orElseThrow();
  }

  @Test
  void requestsBeginAtTargetsThatAreReady() {
    TrafficFixture.Placed waiting = placed();
    clock.advance(CONNECT_MS);
    assertThat(waiting.begins()).isTrue();
  }

  /** Guards against sending to a target that started draining after the placement. */
  @Test
  void requestsThatWaitForConnectionsDoNotBeginAtTargetsThatDrain() {
    TrafficFixture.Placed waiting = placed();
    state.update(snapshot -> snapshot.withTargets(List.of(target(TargetPhase.DRAINING))));
    clock.advance(CONNECT_MS);
    assertThat(waiting.begins()).isFalse();
  }

  /** Guards against sending to a target that announced after the placement that it leaves. */
  @Test
  void requestsThatWaitForConnectionsDoNotBeginAtTargetsThatSaidTheyLeave() {
    TrafficFixture.Placed waiting = placed();
    state.update(snapshot -> snapshot.withLeaving(Set.of(A)));
    clock.advance(CONNECT_MS);
    assertThat(waiting.begins()).isFalse();
  }

  /** Guards against sending to a target that was unregistered after the placement. */
  @Test
  void requestsThatWaitForConnectionsDoNotBeginAtTargetsThatAreGone() {
    TrafficFixture.Placed waiting = placed();
    state.update(snapshot -> snapshot.withTargets(List.of()));
    clock.advance(CONNECT_MS);
    assertThat(waiting.begins()).isFalse();
  }

  /** Guards against sending to a target that was replaced by another one at its address. */
  @Test
  void requestsThatWaitForConnectionsDoNotBeginAtTargetsThatWereReplaced() {
    TrafficFixture.Placed waiting = placed();
    traffic.onReplaced(A);
    clock.advance(CONNECT_MS);
    assertThat(waiting.begins()).isFalse();
  }

  /**
   * Guards against a retry of a request that crashed a target: it already has its slot and becomes
   * suspect while it waits for its connection.
   */
  @Test
  void repeatsThatBecameSuspectMeanwhileDoNotBegin() {
    TrafficFixture.Placed waiting = placed();
    traffic.suspectRequests();
    clock.advance(CONNECT_MS);
    assertThat(waiting.beginsAfter(1)).isFalse();
    assertThat(waiting.beginsAfter(0)).isTrue();
  }

  private static FleetTarget target(TargetPhase phase) {
    return new FleetTarget(
        A, TrafficFixture.SERVICE, "127.0.0.1:9", TrafficFixture.HERE, 4, phase, 0);
  }
}
