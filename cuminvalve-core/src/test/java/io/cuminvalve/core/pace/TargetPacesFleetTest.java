package io.cuminvalve.core.pace;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets of several sizes, with the pace and with fixed pauses alone. */
class TargetPacesFleetTest {

  private static final int LAST = PaceFleet.TARGETS - 1;
  private static final PaceFleet.Slowness WARM = (target, nowMs) -> 1;
  private static final long SETTLE_MS = 1_000;

  /** Guards against a start that grows with the number of gateways. */
  @ParameterizedTest
  @ValueSource(ints = {17, 60, 300})
  void targetsBeginWithTheSameSmallShareInFleetsOfAnySize(int gateways) {
    for (long seed = 1; seed <= 5; seed++) {
      PaceFleet fleet = startOne(gateways, true, WARM, seed);
      assertThat(fleet.meanShare(LAST)).isWithin(1e-9).of(0.125);
      // 20 requests would come to a warm target in 200 ms, and 2.5 are expected here.
      assertThat(fleet.run(200, LAST).sentMs().size()).isLessThan(10);
    }
  }

  /** Guards against starting targets that stay small: three steps of a second and one to spare. */
  @ParameterizedTest
  @ValueSource(ints = {17, 60, 300})
  void warmTargetsGetTheirShareWithinSeconds(int gateways) {
    for (long seed = 1; seed <= 5; seed++) {
      PaceFleet fleet = startOne(gateways, true, WARM, seed).run(4_000, LAST);
      assertThat(fleet.meanShare(LAST)).isAtLeast(0.9);
    }
  }

  /** Guards against a rush to a target that is slow for the first seconds. */
  @ParameterizedTest
  @ValueSource(ints = {17, 60, 300})
  void coldTargetsMakeFewerRequestsLateOrLost(int gateways) {
    PaceFleet.Slowness cold = (target, nowMs) -> target == LAST && nowMs < 4_000 ? 6 : 1;
    assertFewerBad(gateways, cold, 10_000);
  }

  /** Guards against a rush to a target whenever it comes back for a moment. */
  @ParameterizedTest
  @ValueSource(ints = {17, 60, 300})
  void flappingTargetsMakeFewerRequestsLateOrLost(int gateways) {
    PaceFleet.Slowness flapping =
        (target, nowMs) -> target == LAST && nowMs / 1_400 % 2 == 1 ? 0 : 1;
    assertFewerBad(gateways, flapping, 20_000);
  }

  private static void assertFewerBad(int gateways, PaceFleet.Slowness slowness, long durationMs) {
    int withPace = 0;
    int withPauses = 0;
    for (long seed = 1; seed <= 5; seed++) {
      PaceFleet fleet = startOne(gateways, true, slowness, seed).run(durationMs, LAST);
      PaceFleet before = startOne(gateways, false, slowness, seed).run(durationMs, LAST);
      withPace += fleet.late() + fleet.missing();
      withPauses += before.late() + before.missing();
      assertNeverIdleForSeconds(fleet);
    }
    assertWithMessage("late or lost").that(withPace).isLessThan(withPauses);
  }

  private static void assertNeverIdleForSeconds(PaceFleet fleet) {
    List<Long> sentMs = fleet.sentMs();
    long longestMs =
        LongStream.range(1, sentMs.size())
            .map(i -> sentMs.get((int) i) - sentMs.get((int) i - 1))
            .max()
            .orElse(Long.MAX_VALUE);
    assertThat(longestMs).isLessThan(2_000);
  }

  /** Guards against pacing a slow target for good: that is up to the balance of load. */
  @ParameterizedTest
  @ValueSource(ints = {17, 60, 300})
  void targetsThatStaySlowAreNotPacedForGood(int gateways) {
    PaceFleet.Slowness slow = (target, nowMs) -> target == LAST ? 1.8 : 1;
    PaceFleet fleet = startOne(gateways, true, slow, 1).run(21_000, LAST);
    assertThat(fleet.meanShare(LAST)).isAtLeast(0.9);
  }

  /** Guards against half of a service whose load falls on the other half. */
  @ParameterizedTest
  @ValueSource(ints = {17, 60, 300})
  void releasesOfHalfTheServiceBeginWithHalfOfTheirShare(int gateways) {
    PaceFleet fleet = start(gateways, true, WARM, 1, PaceFleet.TARGETS / 2);
    assertThat(fleet.meanShare(LAST)).isWithin(1e-9).of(0.5);
    fleet.run(4_000, PaceFleet.TARGETS / 2);
    assertThat(fleet.missing()).isEqualTo(0);
    assertThat(fleet.meanShare(LAST)).isAtLeast(0.9);
  }

  /** Guards against a rush to a data centre that is back, and against keeping it out. */
  @ParameterizedTest
  @ValueSource(ints = {17, 60, 300})
  void dataCentresThatComeBackColdMakeFewerRequestsLateOrLost(int gateways) {
    int first = PaceFleet.TARGETS * 2 / 3;
    PaceFleet.Slowness cold = (target, nowMs) -> target >= first && nowMs < 4_000 ? 6 : 1;
    int withPace = 0;
    int withPauses = 0;
    for (long seed = 1; seed <= 5; seed++) {
      PaceFleet fleet = start(gateways, true, cold, seed, first).run(10_000, first);
      PaceFleet before = start(gateways, false, cold, seed, first).run(10_000, first);
      withPace += fleet.late() + fleet.missing();
      withPauses += before.late() + before.missing();
      assertNeverIdleForSeconds(fleet);
    }
    assertWithMessage("late or lost").that(withPace).isLessThan(withPauses);
  }

  /** Guards against gateways that take all targets for new ones when they start. */
  @ParameterizedTest
  @ValueSource(ints = {17, 60, 300})
  void gatewaysThatHaveJustStartedPaceNothing(int gateways) {
    PaceFleet fleet = new PaceFleet(gateways, true, WARM, 1).register(target -> true);
    assertThat(fleet.paced()).isEqualTo(0);
    assertThat(fleet.meanShare(0)).isEqualTo(1.0);
  }

  private static PaceFleet startOne(
      int gateways, boolean paced, PaceFleet.Slowness slowness, long seed) {
    return start(gateways, paced, slowness, seed, LAST);
  }

  private static PaceFleet start(
      int gateways, boolean paced, PaceFleet.Slowness slowness, long seed, int first) {
    return new PaceFleet(gateways, paced, slowness, seed)
        .register(target -> target < first)
        .run(SETTLE_MS, PaceFleet.TARGETS)
        .register(target -> true);
  }
}
