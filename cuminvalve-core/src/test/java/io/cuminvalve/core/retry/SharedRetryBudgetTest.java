package io.cuminvalve.core.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SharedRetryBudgetTest {

  private static final long WINDOW_MS = 10_000;

  @Test
  void constantIsDividedAmongProcesses() {
    SharedRetryBudget budget = new SharedRetryBudget(0.2, 60, WINDOW_MS);
    assertThat(retriesAllowed(budget, 10, 0)).isEqualTo(6);
  }

  @Test
  void shareOfRequestsIsAdded() {
    SharedRetryBudget budget = new SharedRetryBudget(0.2, 60, WINDOW_MS);
    for (int i = 0; i < 100; i++) {
      budget.onRequest(i * 10L);
    }
    assertThat(retriesAllowed(budget, 10, 1_000)).isEqualTo(26);
  }

  @Test
  void retriesCountForWholeWindow() {
    SharedRetryBudget budget = new SharedRetryBudget(0.2, 60, WINDOW_MS);
    assertThat(retriesAllowed(budget, 10, 500)).isEqualTo(6);
    assertThat(retriesAllowed(budget, 10, 10_400)).isEqualTo(0);
    assertThat(retriesAllowed(budget, 10, 12_000)).isEqualTo(6);
  }

  private static int retriesAllowed(SharedRetryBudget budget, int processes, long nowMs) {
    int allowed = 0;
    while (budget.tryRetry(processes, nowMs)) {
      allowed++;
    }
    return allowed;
  }
}
