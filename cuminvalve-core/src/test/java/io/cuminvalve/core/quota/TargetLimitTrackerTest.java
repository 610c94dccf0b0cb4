package io.cuminvalve.core.quota;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class TargetLimitTrackerTest {

  private static final TargetId ONE = TargetId.ofRun("one", 1);
  private static final TargetId NEXT_RUN = TargetId.ofRun("one", 2);

  private final TargetLimitTracker ledger = new TargetLimitTracker();
  private final TargetLimitTracker other = new TargetLimitTracker();

  @Test
  void theNewestLimitCounts() {
    assertThat(ledger.onNamed(ONE, 2, 100)).isTrue();
    assertThat(ledger.onNamed(ONE, 2, 150)).isFalse();
    assertThat(ledger.onNamed(ONE, 0.4, 200)).isTrue();
    assertThat(ledger.limitOf(ONE)).isEqualTo(OptionalDouble.of(0.4));
  }

  @Test
  void anAnswerThatNamesNoneEndsIt() {
    ledger.onNamed(ONE, 2, 100);
    assertThat(ledger.onNotNamed(ONE, 101, 150)).isTrue();
    assertThat(ledger.limitOf(ONE)).isEqualTo(OptionalDouble.empty());
    assertThat(ledger.digest()).isEqualTo(0);
  }

  /** It may have been answered before the limit began, and have taken long on its way. */
  @Test
  void anAnswerToAnEarlierRequestEndsNothing() {
    ledger.onNamed(ONE, 2, 100);
    assertThat(ledger.onNotNamed(ONE, 100, 150)).isFalse();
    assertThat(ledger.limitOf(ONE)).isEqualTo(OptionalDouble.of(2));
  }

  @Test
  void limitsAreThoseOfOneRun() {
    ledger.onNamed(ONE, 2, 100);
    assertThat(ledger.limitOf(NEXT_RUN)).isEqualTo(OptionalDouble.empty());
    assertThat(ledger.onNotNamed(NEXT_RUN, 200, 250)).isFalse();
    assertThat(ledger.limitOf(ONE)).isEqualTo(OptionalDouble.of(2));
  }

  @Test
  void theNewerOfTwoReportsCountsInEitherOrder() {
    ledger.onNamed(ONE, 2, 100);
    List<LimitReport> named = ledger.reports(ledger.targets(), 100);
    ledger.onNotNamed(ONE, 120, 130);
    List<LimitReport> ended = ledger.reports(ledger.targets(), 130);
    assertThat(other.merge(ended.get(0), 1_030)).isFalse();
    assertThat(other.merge(named.get(0), 1_000)).isFalse();
    assertThat(other.limitOf(ONE)).isEqualTo(OptionalDouble.empty());
  }

  @Test
  void whoKnowsTheSameHasTheSameDigest() {
    ledger.onNamed(ONE, 2, 100);
    ledger.onNamed(NEXT_RUN, 0.5, 100);
    ledger.reports(ledger.targets(), 170).forEach(report -> other.merge(report, 9_000));
    assertThat(other.limits()).isEqualTo(ledger.limits());
    assertThat(other.digest()).isEqualTo(ledger.digest());
    other.onNamed(ONE, 3, 9_100);
    assertThat(other.digest()).isNotEqualTo(ledger.digest());
  }

  @Test
  void targetsThatAreGoneAreForgotten() {
    ledger.onNamed(ONE, 2, 100);
    ledger.onNamed(NEXT_RUN, 2, 100);
    ledger.forget(NEXT_RUN::equals, 100 + TargetLimitTracker.UNREGISTERED_MS);
    assertThat(ledger.limits()).hasSize(2);
    ledger.forget(NEXT_RUN::equals, 101 + TargetLimitTracker.UNREGISTERED_MS);
    assertThat(ledger.limits().keySet()).containsExactly(NEXT_RUN);
  }

  @Test
  void itsMemoryIsBounded() {
    for (int i = 0; i < 3 * TargetLimitTracker.MOST_TARGETS; i++) {
      ledger.onNamed(TargetId.ofRun("target-" + i, 1), 2, i);
    }
    assertThat(ledger.limits()).hasSize(TargetLimitTracker.MOST_TARGETS);
    assertThat(ledger.limitOf(TargetId.ofRun("target-0", 1))).isEqualTo(OptionalDouble.empty());
  }
}
