package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A gateway that has lost its path to the targets does not let each request find that out. */
class UnreachableTargetsTest {

  private static final int TARGETS = 6;
  private static final int FAILURES_UNTIL_KNOWN = 3;

  /** Without an answer for so long, failed connections are due to the path. */
  private static final long ANSWER_EXPECTED_MS = 150;

  private final VirtualClock clock = new VirtualClock(10_000);
  private final RoutingState state = new RoutingState(1);
  private final TrafficFixture traffic = new TrafficFixture(state, clock);

  @BeforeEach
  void registerTargets() {
    List<FleetTarget> targets = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      targets.add(target(i));
    }
    state.update(snapshot -> snapshot.withTargets(targets));
    state.confirmTargets(clock.upper());
  }

  @Test
  void requestsAreRefusedAtOnceWhenConnectionsToSeveralTargetsFail() {
    for (int i = 0; i < FAILURES_UNTIL_KNOWN; i++) {
      clock.advance(5);
      traffic.place().orElseThrow().failsToConnect();
    }
    clock.advance(ANSWER_EXPECTED_MS);
    traffic.place().orElseThrow().failsToConnect();
    Optional<TargetRefusal.Cause> cause = traffic.refusal().map(TargetRefusal::cause);
    assertThat(cause).isEqualTo(Optional.of(TargetRefusal.Cause.UNREACHABLE));
  }

  /** Several targets may end at the same moment. */
  @Test
  void failuresWithinAnInstantDoNotRefuseRequests() {
    for (int i = 0; i < FAILURES_UNTIL_KNOWN; i++) {
      traffic.place().orElseThrow().failsToConnect();
    }
    assertThat(traffic.refusal()).isEqualTo(Optional.empty());
  }

  private static FleetTarget target(int number) {
    return new FleetTarget(
        new TargetId("t" + number),
        TrafficFixture.SERVICE,
        "10.0.0." + (number + 1) + ":1",
        TrafficFixture.HERE,
        4,
        TargetPhase.READY,
        0);
  }
}
