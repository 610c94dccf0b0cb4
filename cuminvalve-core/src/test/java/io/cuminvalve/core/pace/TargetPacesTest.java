package io.cuminvalve.core.pace;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class TargetPacesTest {

  private static final int ENOUGH_ANSWERS = 8;
  private static final TargetId NEW = new TargetId("files-9");

  private final TargetPaces paces = new TargetPaces(new SplittableRandom(1));

  private void startNew() {
    paces.onTargets(targets(9), 1, 0);
    paces.onTargets(targets(10), 1, 0);
  }

  private static List<FleetTarget> targets(int count) {
    return IntStream.range(0, count)
        .mapToObj(
            i ->
                new FleetTarget(
                    new TargetId("files-" + i),
                    new ServiceId("files"),
                    "a",
                    new DataCentreId("here"),
                    4,
                    TargetPhase.READY,
                    0))
        .toList();
  }

  private void answer(int count, double relativeTime, long nowMs) {
    for (int i = 0; i < count; i++) {
      paces.onAnswer(NEW, relativeTime, nowMs);
    }
  }

  @Test
  void fastAnswersDoubleTheShareUntilThePaceEnds() {
    startNew();
    answer(ENOUGH_ANSWERS, 1, 250);
    assertThat(paces.shareOf(NEW, 250)).isEqualTo(0.25);
    answer(ENOUGH_ANSWERS, 1, 500);
    answer(ENOUGH_ANSWERS, 1, 750);
    assertThat(paces.shareOf(NEW, 750)).isEqualTo(1.0);
    assertThat(paces.size()).isEqualTo(0);
    assertThat(paces.takeSteps().stream().map(PaceStep::reason))
        .containsExactly("started", "answers", "answers", "answers")
        .inOrder();
  }

  @Test
  void answersOfTheStepBeforeDoNotGrowTheShare() {
    startNew();
    answer(3 * ENOUGH_ANSWERS, 1, 249);
    assertThat(paces.shareOf(NEW, 249)).isEqualTo(0.125);
  }

  @Test
  void slowAnswersHalveTheShareOncePerStep() {
    startNew();
    answer(ENOUGH_ANSWERS, 1, 250);
    answer(ENOUGH_ANSWERS, 1, 500);
    assertThat(paces.shareOf(NEW, 500)).isEqualTo(0.5);
    answer(3, 5, 510);
    assertThat(paces.shareOf(NEW, 510)).isEqualTo(0.25);
  }

  @Test
  void refusalsHalveTheShare() {
    startNew();
    answer(ENOUGH_ANSWERS, 1, 250);
    paces.onRefused(NEW, 260);
    assertThat(paces.shareOf(NEW, 260)).isEqualTo(0.125);
  }

  @Test
  void missingAnswersOfWarmTargetsStartTheirPace() {
    paces.onTargets(targets(10), 1, 0);
    assertThat(paces.shareOf(NEW, 1)).isEqualTo(1.0);
    paces.onMissing(NEW, 1);
    assertThat(paces.shareOf(NEW, 1)).isEqualTo(0.125);
  }

  @Test
  void targetsThatFailAgainGrowMoreSlowly() {
    startNew();
    paces.onMissing(NEW, 0);
    paces.onMissing(NEW, 500);
    answer(ENOUGH_ANSWERS, 1, 750);
    assertThat(paces.shareOf(NEW, 750)).isEqualTo(0.125);
    answer(ENOUGH_ANSWERS, 1, 1_000);
    assertThat(paces.shareOf(NEW, 1_000)).isEqualTo(0.25);
  }

  @Test
  void targetsAsSlowAsWithTheSmallestShareGrow() {
    startNew();
    answer(20, 4, 100);
    answer(ENOUGH_ANSWERS, 4, 250);
    assertThat(paces.shareOf(NEW, 250)).isEqualTo(0.25);
  }

  @Test
  void pacesOfTargetsSlowForGoodEnd() {
    startNew();
    for (long nowMs = 0; nowMs < 20_000; nowMs += 300) {
      answer(1, 2 + (nowMs / 100.0), nowMs);
    }
    assertThat(paces.shareOf(NEW, 20_000)).isEqualTo(1.0);
  }

  @Test
  void onlyTargetsOfServicesAreNotPaced() {
    paces.onTargets(targets(1), 1, 0);
    paces.onMissing(new TargetId("files-0"), 1);
    assertThat(paces.shareOf(new TargetId("files-0"), 1)).isEqualTo(1.0);
  }

  @Test
  void targetsThatAreGoneAreForgotten() {
    startNew();
    paces.onTargets(targets(9), 1, 10);
    assertThat(paces.size()).isEqualTo(0);
    paces.onMissing(NEW, 20);
    assertThat(paces.size()).isEqualTo(0);
  }
}
