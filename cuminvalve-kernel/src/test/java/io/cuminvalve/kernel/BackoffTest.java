package io.cuminvalve.kernel;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class BackoffTest {

  private long maxMs = 1_000;
  private final Backoff backoff = new Backoff(100, () -> maxMs, new SplittableRandom(1));

  @Test
  void pausesGrowToMaximumAndReset() {
    Backoff backoff = new Backoff(20, 100, new Random(3));
    long[] bounds = {20, 40, 80, 100, 100};
    for (long bound : bounds) {
      long pauseMs = backoff.nextMs();
      assertThat(pauseMs).isAtLeast(bound / 2);
      assertThat(pauseMs).isAtMost(bound);
    }
    backoff.reset();
    assertThat(backoff.nextMs()).isAtMost(20);
  }

  @Test
  void resetReturnsToMinimum() {
    backoff.nextMs();
    backoff.nextMs();
    backoff.reset();
    assertThat(backoff.nextMs()).isAtMost(100);
  }

  @Test
  void maximumMayDecrease() {
    for (int i = 0; i < 10; i++) {
      backoff.nextMs();
    }
    maxMs = 150;
    assertThat(backoff.nextMs()).isAtMost(150);
    assertThat(backoff.nextMs()).isAtMost(150);
  }
}
