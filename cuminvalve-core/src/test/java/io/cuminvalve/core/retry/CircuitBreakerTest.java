package io.cuminvalve.core.retry;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.kernel.Backoff;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CircuitBreakerTest {

  private static final long FIRST_MS = 100;
  private static final long LONGEST_MS = 1_000;

  private final CircuitBreaker breaker =
      new CircuitBreaker(new Backoff(FIRST_MS, LONGEST_MS, new SplittableRandom(1)));

  @Test
  void admitsCallsWhileTheyAreAnswered() {
    for (long nowMs = 0; nowMs < 10; nowMs++) {
      breaker.onAnswered(breaker.begin(nowMs).orElseThrow());
    }
    assertThat(breaker.begin(10)).isPresent();
  }

  @Test
  void oneRefusalOpensBreakerForPause() {
    breaker.onRefused(breaker.begin(0).orElseThrow(), 0);
    assertThat(breaker.begin(FIRST_MS / 2 - 1)).isEmpty();
    assertThat(breaker.begin(FIRST_MS)).isPresent();
  }

  @Test
  void onlyTwoConsecutiveFailuresOpenBreaker() {
    breaker.onFailed(breaker.begin(0).orElseThrow(), 0);
    breaker.onAnswered(breaker.begin(1).orElseThrow());
    breaker.onFailed(breaker.begin(2).orElseThrow(), 2);
    long second = breaker.begin(3).orElseThrow();
    breaker.onFailed(second, 3);
    assertThat(breaker.begin(4)).isEmpty();
  }

  @Test
  void openBreakerAdmitsOneTrialPerPause() {
    breaker.onRefused(breaker.begin(0).orElseThrow(), 0);
    int trials = 0;
    for (long nowMs = 1; nowMs <= 9_000; nowMs++) {
      if (breaker.begin(nowMs).isPresent()) {
        trials++;
      }
    }
    assertThat(trials).isAtLeast((int) (9_000 / LONGEST_MS));
    assertThat(trials).isAtMost(2 * (int) (9_000 / LONGEST_MS) + 4);
  }

  @Test
  void answeredTrialClosesBreakerAndResetsPauses() {
    breaker.onRefused(breaker.begin(0).orElseThrow(), 0);
    for (long nowMs = 1; nowMs < 5_000; nowMs++) {
      breaker.begin(nowMs);
    }
    breaker.onAnswered(breaker.begin(7_000).orElseThrow());
    long next = breaker.begin(7_001).orElseThrow();
    assertThat(breaker.begin(7_001)).isPresent();
    breaker.onRefused(next, 7_001);
    assertThat(breaker.begin(7_001 + FIRST_MS)).isPresent();
  }

  @Test
  void resultsOfEarlierCallsAreIgnored() {
    long early = breaker.begin(0).orElseThrow();
    long other = breaker.begin(0).orElseThrow();
    breaker.onRefused(other, 1);
    breaker.onAnswered(early);
    assertThat(breaker.begin(2)).isEmpty();
    breaker.onAnswered(breaker.begin(FIRST_MS + 1).orElseThrow());
    breaker.onRefused(early, FIRST_MS + 2);
    assertThat(breaker.begin(FIRST_MS + 3)).isPresent();
  }
}
