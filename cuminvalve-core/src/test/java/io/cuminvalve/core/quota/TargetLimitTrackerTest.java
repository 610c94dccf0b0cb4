package io.cuminvalve.core.quota;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class TargetLimitTrackerTest {

  private static final TargetId FIRST_INCARNATION = TargetId.ofRun("one", 1);
  private static final TargetId NEXT_INCARNATION = TargetId.ofRun("one", 2);

  private final TargetLimitTracker tracker = new TargetLimitTracker();
  private final TargetLimitTracker other = new TargetLimitTracker();

  @Test
  void newestLimitApplies() {
    assertThat(tracker.onNamed(FIRST_INCARNATION, 2, 100)).isTrue();
    assertThat(tracker.onNamed(FIRST_INCARNATION, 2, 150)).isFalse();
    assertThat(tracker.onNamed(FIRST_INCARNATION, 0.4, 200)).isTrue();
    assertThat(tracker.limitOf(FIRST_INCARNATION)).isEqualTo(OptionalDouble.of(0.4));
  }

  @Test
  void answerWithoutLimitEndsLimit() {
    tracker.onNamed(FIRST_INCARNATION, 2, 100);
    assertThat(tracker.onNotNamed(FIRST_INCARNATION, 101, 150)).isTrue();
    assertThat(tracker.limitOf(FIRST_INCARNATION)).isEqualTo(OptionalDouble.empty());
    assertThat(tracker.digest()).isEqualTo(0);
  }

  /** That request may have been answered before the limit began, and its answer delayed. */
  @Test
  void answerToEarlierRequestDoesNotEndLimit() {
    tracker.onNamed(FIRST_INCARNATION, 2, 100);
    assertThat(tracker.onNotNamed(FIRST_INCARNATION, 100, 150)).isFalse();
    assertThat(tracker.limitOf(FIRST_INCARNATION)).isEqualTo(OptionalDouble.of(2));
  }

  @Test
  void limitAppliesToOneIncarnation() {
    tracker.onNamed(FIRST_INCARNATION, 2, 100);
    assertThat(tracker.limitOf(NEXT_INCARNATION)).isEqualTo(OptionalDouble.empty());
    assertThat(tracker.onNotNamed(NEXT_INCARNATION, 200, 250)).isFalse();
    assertThat(tracker.limitOf(FIRST_INCARNATION)).isEqualTo(OptionalDouble.of(2));
  }

  @Test
  void newerReportAppliesInEitherOrder() {
    tracker.onNamed(FIRST_INCARNATION, 2, 100);
    List<LimitReport> named = tracker.reports(tracker.targets(), 100);
    tracker.onNotNamed(FIRST_INCARNATION, 120, 130);
    List<LimitReport> ended = tracker.reports(tracker.targets(), 130);
    assertThat(other.merge(ended.get(0), 1_030)).isFalse();
    assertThat(other.merge(named.get(0), 1_000)).isFalse();
    assertThat(other.limitOf(FIRST_INCARNATION)).isEqualTo(OptionalDouble.empty());
  }

  @Test
  void equalLimitsHaveEqualDigests() {
    tracker.onNamed(FIRST_INCARNATION, 2, 100);
    tracker.onNamed(NEXT_INCARNATION, 0.5, 100);
    tracker.reports(tracker.targets(), 170).forEach(report -> other.merge(report, 9_000));
    assertThat(other.limits()).isEqualTo(tracker.limits());
    assertThat(other.digest()).isEqualTo(tracker.digest());
    other.onNamed(FIRST_INCARNATION, 3, 9_100);
    assertThat(other.digest()).isNotEqualTo(tracker.digest());
  }

  @Test
  void unregisteredTargetsAreRemoved() {
    tracker.onNamed(FIRST_INCARNATION, 2, 100);
    tracker.onNamed(NEXT_INCARNATION, 2, 100);
    tracker.forget(NEXT_INCARNATION::equals, 100 + TargetLimitTracker.UNREGISTERED_MS);
    assertThat(tracker.limits()).hasSize(2);
    tracker.forget(NEXT_INCARNATION::equals, 101 + TargetLimitTracker.UNREGISTERED_MS);
    assertThat(tracker.limits().keySet()).containsExactly(NEXT_INCARNATION);
  }

  @Test
  void numberOfTargetsIsBounded() {
    for (int i = 0; i < 3 * TargetLimitTracker.MAX_TARGETS; i++) {
      tracker.onNamed(TargetId.ofRun("target-" + i, 1), 2, i);
    }
    assertThat(tracker.limits()).hasSize(TargetLimitTracker.MAX_TARGETS);
    assertThat(tracker.limitOf(TargetId.ofRun("target-0", 1))).isEqualTo(OptionalDouble.empty());
  }
}
