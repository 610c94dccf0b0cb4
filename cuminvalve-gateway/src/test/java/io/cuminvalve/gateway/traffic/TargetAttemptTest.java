package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What is known of a target when the first byte goes out counts, not what was at the placement. */
class TargetAttemptTest {

  private static final long CONNECT_MS = 300;
  private static final TargetId A = new TargetId("a");

  private final VirtualClock clock = new VirtualClock(10_000);
  private final RoutingState state = new RoutingState(1);
  private final TrafficFixture gateway = new TrafficFixture(state, clock);

  private TrafficFixture.Placed placed() {
    state.update(snapshot -> snapshot.withTargets(List.of(target(TargetPhase.READY))));
    state.confirmTargets(clock.upper());
    return gateway.place().orElseThrow();
  }

  @Test
  void requestsBeginAtTargetsThatAreReady() {
    TrafficFixture.Placed waiting = placed();
    clock.advance(CONNECT_MS);
    assertThat(waiting.begins()).isTrue();
  }

  /** Guards against a request that begins though its target was seen to leave meanwhile. */
  @Test
  void requestsThatWaitForConnectionsDoNotBeginAtTargetsThatDrain() {
    TrafficFixture.Placed waiting = placed();
    state.update(snapshot -> snapshot.withTargets(List.of(target(TargetPhase.DRAINING))));
    clock.advance(CONNECT_MS);
    assertThat(waiting.begins()).isFalse();
  }

  /** Guards against a request that begins though its target has said meanwhile that it leaves. */
  @Test
  void requestsThatWaitForConnectionsDoNotBeginAtTargetsThatSaidTheyLeave() {
    TrafficFixture.Placed waiting = placed();
    state.update(snapshot -> snapshot.withLeaving(Set.of(A)));
    clock.advance(CONNECT_MS);
    assertThat(waiting.begins()).isFalse();
  }

  /** Guards against a request that begins though its target is gone from the registry meanwhile. */
  @Test
  void requestsThatWaitForConnectionsDoNotBeginAtTargetsThatAreGone() {
    TrafficFixture.Placed waiting = placed();
    state.update(snapshot -> snapshot.withTargets(List.of()));
    clock.advance(CONNECT_MS);
    assertThat(waiting.begins()).isFalse();
  }

  /** Guards against a request that begins though another target was found at the address. */
  @Test
  void requestsThatWaitForConnectionsDoNotBeginAtTargetsThatWereReplaced() {
    TrafficFixture.Placed waiting = placed();
    gateway.onReplaced(A);
    clock.advance(CONNECT_MS);
    assertThat(waiting.begins()).isFalse();
  }

  /**
   * Guards against a repeat of a request under which a target has ended: it has its slot already,
   * and becomes suspect while it waits for its connection.
   */
  @Test
  void repeatsThatBecameSuspectMeanwhileDoNotBegin() {
    TrafficFixture.Placed waiting = placed();
    gateway.suspectRequests();
    clock.advance(CONNECT_MS);
    assertThat(waiting.beginsAfter(1)).isFalse();
    assertThat(waiting.beginsAfter(0)).isTrue();
  }

  private static FleetTarget target(TargetPhase phase) {
    return new FleetTarget(
        A, TrafficFixture.SERVICE, "127.0.0.1:9", TrafficFixture.HERE, 4, phase, 0);
  }
}
