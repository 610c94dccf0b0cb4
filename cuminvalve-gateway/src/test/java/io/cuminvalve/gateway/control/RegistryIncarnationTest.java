package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.testkit.time.VirtualClock;
import io.cuminvalve.testkit.time.VirtualExecutor;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Departures reported by the registry watch for the known run of a target or a later one. */
class RegistryIncarnationTest {

  private final VirtualClock clock = new VirtualClock(10_000);
  private final VirtualRegistry registry = new VirtualRegistry(clock);

  /** Returns the targets that are ready after an entry was overwritten by a draining one. */
  private List<FleetTarget> readyAfter(String firstRun, String drainingRun) {
    registry.put(FollowingGateway.target(new TargetId(firstRun), TargetPhase.READY));
    ControlThread control =
        new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(clock));
    DecisionLog log = new DecisionLog(clock, 1, line -> {});
    RegistryFollower follower =
        new RegistryFollower(
            registry.new Reader(), control, clock, log, List.of(), UpperTime.NEVER, () -> {});
    control.execute(follower::start);
    clock.advance(1_000);
    registry.put(FollowingGateway.target(new TargetId(drainingRun), TargetPhase.DRAINING));
    clock.advance(2_000);
    return follower.register().all().stream().filter(FleetTarget::isReady).toList();
  }

  @Test
  void drainingEntryOfTheKnownRunCounts() {
    assertThat(readyAfter("a@10", "a@10")).isEmpty();
  }

  @Test
  void drainingEntryOfLaterRunCounts() {
    assertThat(readyAfter("a@10", "a@11")).isEmpty();
  }
}
