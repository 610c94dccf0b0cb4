package io.cuminvalve.core.retry;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.request.RetryPolicy;
import io.cuminvalve.core.request.SlotUse;
import org.junit.jupiter.api.Test;

/** Tests {@link RetryBudget} and {@link TargetCircuitBreakers}. */
class RetryTest {

  private static final RetrySettings SETTINGS = new RetrySettings(0.1, 2, 10, 60, 5, 3, 500, 0.34);
  private static final TargetId FIRST = new TargetId("t0");

  private final TargetCircuitBreakers breakers = new TargetCircuitBreakers(SETTINGS);

  @Test
  void retriesStayWithinBudgetShare() {
    RetryBudget budget = new RetryBudget(SETTINGS, () -> 0.5);
    int retries = 0;
    for (int request = 0; request < 1_000; request++) {
      budget.onRequest();
      retries += budget.delayMs(1, 1_000, 0) == RetryPolicy.NO_RETRY ? 0 : 1;
    }
    assertThat(retries).isAtLeast(100);
    assertThat(retries).isAtMost(102);
  }

  @Test
  void backoffDoublesWithFullJitterUpToMaximum() {
    RetrySettings generous = new RetrySettings(0.1, 100, 10, 60, 9, 3, 500, 0.34);
    RetryBudget longest = new RetryBudget(generous, () -> 0.999);
    RetryBudget shortest = new RetryBudget(generous, () -> 0.0);
    long[] expected = {10, 20, 40, 60, 60};
    for (int failed = 1; failed <= expected.length; failed++) {
      assertThat(longest.delayMs(failed, 1_000, 0)).isEqualTo(expected[failed - 1]);
      assertThat(shortest.delayMs(failed, 1_000, 0)).isEqualTo(0);
    }
  }

  @Test
  void noRetryBeyondDeadlineOrAttempts() {
    RetryBudget budget = new RetryBudget(SETTINGS, () -> 0.999);
    assertThat(budget.delayMs(1, 10, 0)).isEqualTo(RetryPolicy.NO_RETRY);
    assertThat(budget.delayMs(5, 1_000, 0)).isEqualTo(RetryPolicy.NO_RETRY);
    assertThat(budget.delayMs(1, 11, 0)).isEqualTo(10);
  }

  @Test
  void circuitOpensAfterFailuresAndClosesAfterTrial() {
    breakers.onTargets(10);
    fail(FIRST, 2, 0);
    assertThat(breakers.waitMs(FIRST, 0)).isEqualTo(0);
    fail(FIRST, 1, 0);
    assertThat(breakers.waitMs(FIRST, 100)).isEqualTo(400);
    assertThat(breakers.waitMs(FIRST, 500)).isEqualTo(0);
    assertThat(breakers.waitMs(FIRST, 501)).isEqualTo(499);
    breakers.onAttempt(FIRST, SlotUse.ANSWERED, 510);
    assertThat(breakers.waitMs(FIRST, 510)).isEqualTo(0);
    fail(FIRST, 2, 520);
    assertThat(breakers.isOpen(FIRST)).isFalse();
  }

  @Test
  void refusalResetsFailuresAndUnusedSlotIsIgnored() {
    breakers.onTargets(10);
    fail(FIRST, 2, 0);
    breakers.onAttempt(FIRST, SlotUse.REFUSED, 0);
    breakers.onAttempt(FIRST, SlotUse.UNUSED, 0);
    fail(FIRST, 2, 0);
    breakers.onAttempt(FIRST, SlotUse.CANCELLED, 0);
    assertThat(breakers.isOpen(FIRST)).isFalse();
  }

  @Test
  void openCircuitsStayWithinOpenShare() {
    breakers.onTargets(10);
    for (int i = 0; i < 10; i++) {
      fail(new TargetId("t" + i), 20, 0);
    }
    int open = 0;
    for (int i = 0; i < 10; i++) {
      open += breakers.isOpen(new TargetId("t" + i)) ? 1 : 0;
    }
    assertThat(open).isEqualTo(3);
    breakers.onAttempt(FIRST, SlotUse.ANSWERED, 10);
    fail(new TargetId("t9"), 1, 20);
    assertThat(breakers.isOpen(new TargetId("t9"))).isTrue();
  }

  private void fail(TargetId target, int times, long nowMs) {
    for (int i = 0; i < times; i++) {
      breakers.onAttempt(target, SlotUse.NOT_CONNECTED, nowMs);
    }
  }
}
