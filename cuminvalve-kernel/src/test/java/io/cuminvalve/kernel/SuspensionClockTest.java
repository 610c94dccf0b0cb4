package io.cuminvalve.kernel;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests suspensions and wall clock steps with simulated clocks. */
class SuspensionClockTest {

  private static final long EPOCH_MS = 1_700_000_000_000L;

  private long monotonicMs = 5_000;
  private long offsetMs = EPOCH_MS;
  private final List<Long> reportedMs = new ArrayList<>();
  private int readings;
  private int pauseAtReading = -1;

  private final SuspensionClock clock =
      new SuspensionClock(this::readMonotonic, () -> monotonicMs + offsetMs, reportedMs::add);

  private long readMonotonic() {
    readings++;
    if (readings == pauseAtReading) {
      monotonicMs += 3_000;
    }
    return monotonicMs;
  }

  @Test
  void upperBoundFollowsMonotonicClock() {
    final long startMs = clock.nowMs();
    final long upperStartMs = clock.upper().ms();
    monotonicMs += 1_234;
    assertThat(clock.nowMs() - startMs).isEqualTo(1_234);
    assertThat(clock.upper().ms() - upperStartMs).isEqualTo(1_234);
    assertThat(clock.suspendedMs()).isEqualTo(0);
  }

  /** Suspending this host or setting its wall clock must not end leases of others early. */
  @Test
  void lowerBoundIgnoresWallClock() {
    final long startMs = clock.nowMs();
    offsetMs += 7_000;
    clock.upper();
    assertThat(clock.nowMs()).isEqualTo(startMs);
    offsetMs -= 9_000;
    monotonicMs += 10;
    clock.upper();
    assertThat(clock.nowMs()).isEqualTo(startMs + 10);
  }

  @Test
  void backwardStepsAreNotSubtracted() {
    final UpperTime start = clock.upper();
    offsetMs += 2_000;
    assertThat(clock.upper().sinceMs(start)).isEqualTo(2_000);
    offsetMs -= 2_000;
    assertThat(clock.upper().sinceMs(start)).isEqualTo(2_000);
  }

  @Test
  void suspensionsAreAddedToUpperBound() {
    final long startMs = clock.upper().ms();
    offsetMs += 7_000;
    assertThat(clock.upper().ms() - startMs).isEqualTo(7_000);
    assertThat(clock.suspendedMs()).isEqualTo(7_000);
    monotonicMs += 100;
    offsetMs += 2_000;
    assertThat(clock.upper().ms() - startMs).isEqualTo(9_100);
    assertThat(reportedMs).containsExactly(7_000L, 2_000L).inOrder();
  }

  @Test
  void settingWallClockBackChangesNothing() {
    final long startMs = clock.upper().ms();
    offsetMs -= 60_000;
    assertThat(clock.upper().ms() - startMs).isEqualTo(0);
    offsetMs += 4_000;
    assertThat(clock.upper().ms() - startMs).isEqualTo(4_000);
  }

  @Test
  void clockDriftIsNotSuspension() {
    final long startMs = clock.upper().ms();
    for (int i = 0; i < 10_000; i++) {
      monotonicMs += 50;
      offsetMs += 1;
      clock.upper().ms();
    }
    assertThat(clock.upper().ms() - startMs).isEqualTo(500_000);
  }

  /** A pause of the process between two readings is already counted by the monotonic clock. */
  @Test
  void pausesWithinOneReadingAreCountedOnce() {
    for (int reading = 1; reading <= 6; reading++) {
      final long startMs = clock.upper().ms();
      final long monotonicStartMs = monotonicMs;
      pauseAtReading = readings + reading;
      clock.upper().ms();
      clock.upper().ms();
      assertThat(clock.upper().ms() - startMs).isEqualTo(monotonicMs - monotonicStartMs);
    }
    assertThat(clock.suspendedMs()).isEqualTo(0);
  }

  @Test
  void upperBoundNeverDecreases() {
    Random random = new Random(7);
    long lastMs = clock.upper().ms();
    for (int i = 0; i < 100_000; i++) {
      monotonicMs += random.nextInt(20);
      if (random.nextInt(50) == 0) {
        offsetMs += random.nextInt(10_000) - 5_000;
      }
      long nowMs = clock.upper().ms();
      assertThat(nowMs).isAtLeast(lastMs);
      lastMs = nowMs;
    }
  }
}
