package io.cuminvalve.kernel;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Suspensions and steps of the time of day, on clocks of the test's own. */
class SuspensionClockTest {

  private static final long EPOCH_MS = 1_700_000_000_000L;

  private long steadyMs = 5_000;
  private long offsetMs = EPOCH_MS;
  private final List<Long> heardMs = new ArrayList<>();
  private int readings;
  private int frozenAtReading = -1;

  private final SuspensionClock clock =
      new SuspensionClock(this::readSteady, () -> steadyMs + offsetMs, heardMs::add);

  private long readSteady() {
    readings++;
    if (readings == frozenAtReading) {
      steadyMs += 3_000;
    }
    return steadyMs;
  }

  @Test
  void itGoesWithTheSteadyClock() {
    final long startMs = clock.nowMs();
    steadyMs += 1_234;
    assertThat(clock.nowMs() - startMs).isEqualTo(1_234);
    assertThat(clock.suspendedMs()).isEqualTo(0);
  }

  @Test
  void suspensionsCount() {
    final long startMs = clock.nowMs();
    offsetMs += 7_000;
    assertThat(clock.nowMs() - startMs).isEqualTo(7_000);
    assertThat(clock.suspendedMs()).isEqualTo(7_000);
    steadyMs += 100;
    offsetMs += 2_000;
    assertThat(clock.nowMs() - startMs).isEqualTo(9_100);
    assertThat(heardMs).containsExactly(7_000L, 2_000L).inOrder();
  }

  @Test
  void theTimeOfDaySetBackChangesNothing() {
    final long startMs = clock.nowMs();
    offsetMs -= 60_000;
    assertThat(clock.nowMs() - startMs).isEqualTo(0);
    offsetMs += 4_000;
    assertThat(clock.nowMs() - startMs).isEqualTo(4_000);
  }

  @Test
  void clocksThatDriftApartAreNoSuspension() {
    final long startMs = clock.nowMs();
    for (int i = 0; i < 10_000; i++) {
      steadyMs += 50;
      offsetMs += 1;
      clock.nowMs();
    }
    assertThat(clock.nowMs() - startMs).isEqualTo(500_000);
  }

  /** The process stands still between two readings; the steady clock counts that itself. */
  @Test
  void pausesWithinOneReadingAreCountedOnce() {
    for (int reading = 1; reading <= 6; reading++) {
      final long startMs = clock.nowMs();
      final long steadyStartMs = steadyMs;
      frozenAtReading = readings + reading;
      clock.nowMs();
      clock.nowMs();
      assertThat(clock.nowMs() - startMs).isEqualTo(steadyMs - steadyStartMs);
    }
    assertThat(clock.suspendedMs()).isEqualTo(0);
  }

  @Test
  void itNeverDecreases() {
    Random random = new Random(7);
    long lastMs = clock.nowMs();
    for (int i = 0; i < 100_000; i++) {
      steadyMs += random.nextInt(20);
      if (random.nextInt(50) == 0) {
        offsetMs += random.nextInt(10_000) - 5_000;
      }
      long nowMs = clock.nowMs();
      assertThat(nowMs).isAtLeast(lastMs);
      lastMs = nowMs;
    }
  }
}
