package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertWithMessage;
import static io.cuminvalve.gateway.control.FollowingGateway.A;
import static io.cuminvalve.gateway.control.FollowingGateway.target;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.testkit.time.VirtualClock;
import io.cuminvalve.testkit.time.VirtualExecutor;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The reported age of the targets is at least the time since the first unknown change. */
class RegistryAgeTest {

  private static final long OBSERVED_MS = 10_000;

  private final VirtualClock clock = new VirtualClock(10_000);
  private final VirtualClock controlClock = new VirtualClock(10_000);
  private final VirtualRegistry registry = new VirtualRegistry(clock);
  private final VirtualRegistry.Reader reader = registry.new Reader();

  private RegistryFollower follower(VirtualClock controlTime) {
    ControlThread control =
        new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(controlTime));
    registry.put(target(A, TargetPhase.READY));
    RegistryFollower follower =
        new RegistryFollower(
            reader,
            control,
            clock,
            new DecisionLog(clock, 1, line -> {}),
            List.of(),
            UpperTime.NEVER,
            () -> {});
    control.execute(follower::start);
    return follower;
  }

  /** Returns the largest amount by which the reported age is too low after a departure. */
  private long worstErrorMs(RegistryFollower follower, VirtualClock controlTime) {
    registry.put(target(A, TargetPhase.DRAINING));
    final long departedMs = clock.nowMs();
    long worst = 0;
    for (long ms = 0; ms < OBSERVED_MS; ms++) {
      clock.advance(1);
      controlTime.advance(0);
      boolean known = !follower.register().find(A).map(FleetTarget::isReady).orElse(true);
      if (!known) {
        worst = Math.max(worst, clock.nowMs() - departedMs - follower.ageMs());
      }
    }
    return worst;
  }

  /** Guards against a delayed response that counts as new. */
  @Test
  void delayedResponsesAreOld() {
    final RegistryFollower follower = follower(clock);
    clock.advance(3_000);
    reader.setAnswerMs(2_600);
    clock.advance(10_000);
    assertWithMessage("reported age too low by (ms)")
        .that(worstErrorMs(follower, clock))
        .isAtMost(0);
  }

  /** Guards against a follower without any response that reports a low age. */
  @Test
  void followerWithoutResponseIsNotFresh() {
    reader.setRefused(true);
    final RegistryFollower follower = follower(clock);
    clock.advance(1_000);
    assertWithMessage("age reported without any response")
        .that(follower.ageMs())
        .isGreaterThan(FleetLink.STALE_REGISTRY_MS);
  }

  /** Guards against a delayed control thread that considers the registry silent. */
  @Test
  void registryIsNotSilentWhileResponsesWaitForTheControlThread() {
    final RegistryFollower follower = follower(controlClock);
    controlClock.advance(0);
    for (int ms = 0; ms < 5_000; ms++) {
      clock.advance(1);
      assertWithMessage("silent %s ms after a listing with an immediate response", ms)
          .that(follower.isSilent())
          .isFalse();
    }
  }

  @Test
  void registryIsSilentWhileItRefusesCalls() {
    final RegistryFollower follower = follower(clock);
    reader.setRefused(true);
    clock.advance(3_000);
    assertWithMessage("silent while the registry refuses calls").that(follower.isSilent()).isTrue();
    reader.setRefused(false);
    clock.advance(RegistryFollower.WAIT_MS + RegistryFollower.PACE_MS);
    assertWithMessage("silent after the refusals").that(follower.isSilent()).isFalse();
  }

  /** Guards against a response that counts as new after waiting for a busy control thread. */
  @Test
  void responsesThatWaitedForTheControlThreadAreOld() {
    final RegistryFollower follower = follower(controlClock);
    for (int ms = 0; ms < 5_000; ms++) {
      clock.advance(1);
      controlClock.advance(1);
    }
    // A response without the departure arrives within 1 s and waits for the control thread.
    clock.advance(1_000);
    registry.put(target(A, TargetPhase.DRAINING));
    final long departedMs = clock.nowMs();
    clock.advance(3_000);
    controlClock.advance(0);
    boolean known = !follower.register().find(A).map(FleetTarget::isReady).orElse(true);
    long errorMs = known ? 0 : clock.nowMs() - departedMs - follower.ageMs();
    assertWithMessage("reported age too low by (ms)").that(errorMs).isAtMost(0);
  }
}
