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
    final long upperStartMs = clock.upper().ms();
    steadyMs += 1_234;
    assertThat(clock.nowMs() - startMs).isEqualTo(1_234);
    assertThat(clock.upper().ms() - upperStartMs).isEqualTo(1_234);
    assertThat(clock.suspendedMs()).isEqualTo(0);
  }

  /** Nobody's lease ends sooner because this host was suspended, or its time of day set. */
  @Test
  void theLowerBoundKnowsNothingOfTheTimeOfDay() {
    final long startMs = clock.nowMs();
    offsetMs += 7_000;
    clock.upper();
    assertThat(clock.nowMs()).isEqualTo(startMs);
    offsetMs -= 9_000;
    steadyMs += 10;
    clock.upper();
    assertThat(clock.nowMs()).isEqualTo(startMs + 10);
  }

  @Test
  void stepsBackAreNotTakenOff() {
    final UpperTime start = clock.upper();
    offsetMs += 2_000;
    assertThat(clock.upper().sinceMs(start)).isEqualTo(2_000);
    offsetMs -= 2_000;
    assertThat(clock.upper().sinceMs(start)).isEqualTo(2_000);
  }

  @Test
  void suspensionsCount() {
    final long startMs = clock.upper().ms();
    offsetMs += 7_000;
    assertThat(clock.upper().ms() - startMs).isEqualTo(7_000);
    assertThat(clock.suspendedMs()).isEqualTo(7_000);
    steadyMs += 100;
    offsetMs += 2_000;
    assertThat(clock.upper().ms() - startMs).isEqualTo(9_100);
    assertThat(heardMs).containsExactly(7_000L, 2_000L).inOrder();
  }

  @Test
  void theTimeOfDaySetBackChangesNothing() {
    final long startMs = clock.upper().ms();
    offsetMs -= 60_000;
    assertThat(clock.upper().ms() - startMs).isEqualTo(0);
    offsetMs += 4_000;
    assertThat(clock.upper().ms() - startMs).isEqualTo(4_000);
  }

  @Test
  void clocksThatDriftApartAreNoSuspension() {
    final long startMs = clock.upper().ms();
    for (int i = 0; i < 10_000; i++) {
      steadyMs += 50;
      offsetMs += 1;
      clock.upper().ms();
    }
    assertThat(clock.upper().ms() - startMs).isEqualTo(500_000);
  }

  /** The process stands still between two readings; the steady clock counts that itself. */
  @Test
  void pausesWithinOneReadingAreCountedOnce() {
    for (int reading = 1; reading <= 6; reading++) {
      final long startMs = clock.upper().ms();
      final long steadyStartMs = steadyMs;
      frozenAtReading = readings + reading;
      clock.upper().ms();
      clock.upper().ms();
      assertThat(clock.upper().ms() - startMs).isEqualTo(steadyMs - steadyStartMs);
    }
    assertThat(clock.suspendedMs()).isEqualTo(0);
  }

  @Test
  void itNeverDecreases() {
    Random random = new Random(7);
    long lastMs = clock.upper().ms();
    for (int i = 0; i < 100_000; i++) {
      steadyMs += random.nextInt(20);
      if (random.nextInt(50) == 0) {
        offsetMs += random.nextInt(10_000) - 5_000;
      }
      long nowMs = clock.upper().ms();
      assertThat(nowMs).isAtLeast(lastMs);
      lastMs = nowMs;
    }
  }
}
