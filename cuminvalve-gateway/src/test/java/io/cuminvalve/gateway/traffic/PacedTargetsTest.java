package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.pace.TargetPaces;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PacedTargetsTest {

  private static final int MANY_GATEWAYS = 60;
  private static final int CHOICES = 1_000;
  private static final int ENOUGH_ANSWERS = 8;
  private static final long WARM_MS = 20;

  private final VirtualClock clock = new VirtualClock(10_000);
  private final RoutingState state = new RoutingState(MANY_GATEWAYS);
  private final List<String> lines = new ArrayList<>();
  private final PacedTargets paces =
      new PacedTargets(
          state, clock, new SplittableRandom(1), new DecisionLog(clock, 100, lines::add));

  @Test
  void targetsKnownFromTheStartHaveTheirWholeShare() {
    setTargets(10);
    assertThat(choices(target(9))).isEqualTo(CHOICES);
    assertThat(paces.size()).isEqualTo(0);
    assertThat(lines).isEmpty();
  }

  @Test
  void targetsThatRegisterLaterAreChosenLessOftenAndLogged() {
    setTargets(9);
    setTargets(10);
    assertThat(paces.size()).isEqualTo(1);
    // An eighth of them is expected.
    assertThat(choices(target(9))).isLessThan(CHOICES / 4);
    assertThat(choices(target(9))).isGreaterThan(0);
    assertThat(choices(target(8))).isEqualTo(CHOICES);
    assertThat(lines)
        .containsExactly("event=target_pace target=files-9 share=0.125 reason=started");
  }

  @Test
  void answersAsFastAsThoseOfItsPeersEndThePace() {
    setTargets(9);
    answer(target(0), 50, WARM_MS);
    setTargets(10);
    for (int step = 0; step < 3; step++) {
      clock.advance(250);
      answer(target(9), ENOUGH_ANSWERS, WARM_MS);
    }
    assertThat(choices(target(9))).isEqualTo(CHOICES);
    assertThat(lines.get(lines.size() - 1))
        .isEqualTo("event=target_pace target=files-9 share=1.000 reason=answers");
  }

  @Test
  void slowAnswersDoNotGrowTheShare() {
    setTargets(9);
    answer(target(0), 50, WARM_MS);
    setTargets(10);
    clock.advance(250);
    answer(target(9), 1, 20 * WARM_MS);
    answer(target(9), 1, 40 * WARM_MS);
    assertThat(choices(target(9))).isLessThan(CHOICES / 4);
  }

  @Test
  void missingAnswersBeginPaces() {
    setTargets(10);
    paces.onOutcome(target(9), "files", AttemptOutcome.NO_ANSWER, 300);
    assertThat(choices(target(9))).isLessThan(CHOICES / 4);
    assertThat(lines)
        .containsExactly("event=target_pace target=files-9 share=0.125 reason=missing");
  }

  /** Guards against a pace where each gateway has several places at a target. */
  @Test
  void targetsOfFewGatewaysHaveTheirWholeShare() {
    state.update(snapshot -> snapshot.withProcesses(8));
    setTargets(9);
    setTargets(10);
    paces.onOutcome(target(9), "files", AttemptOutcome.NO_ANSWER, 300);
    assertThat(choices(target(9))).isEqualTo(CHOICES);
    assertThat(lines).isEmpty();
  }

  /** Guards against keyed requests that wait for a slot of an idle target. */
  @Test
  void sharesOfTheLimitAreAtLeastOneRequest() {
    TargetSlots slots = new TargetSlots(8, 8);
    assertThat(slots.hasFreeSlot(TargetPaces.LEFT_OUT_SHARE)).isTrue();
    slots.take();
    assertThat(slots.hasFreeSlot(TargetPaces.LEFT_OUT_SHARE)).isFalse();
    assertThat(slots.hasFreeSlot(0.5)).isTrue();
    assertThat(slots.hasFreeSlot(1)).isTrue();
  }

  private int choices(FleetTarget target) {
    return (int) IntStream.range(0, CHOICES).filter(i -> paces.shareOf(target) == 1).count();
  }

  private void answer(FleetTarget target, int count, long tookMs) {
    for (int i = 0; i < count; i++) {
      paces.onOutcome(target, "files", AttemptOutcome.ANSWERED, tookMs);
    }
  }

  private void setTargets(int count) {
    List<FleetTarget> targets =
        IntStream.range(0, count).mapToObj(PacedTargetsTest::target).toList();
    state.update(snapshot -> snapshot.withTargets(targets));
  }

  private static FleetTarget target(int number) {
    return new FleetTarget(
        new TargetId("files-" + number),
        TrafficFixture.SERVICE,
        "10.0.0." + (number + 1) + ":1",
        TrafficFixture.HERE,
        4,
        TargetPhase.READY,
        0);
  }
}
