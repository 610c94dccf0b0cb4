package io.cuminvalve.kernel;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests suspensions and wall clock steps with simulated clocks, with and without a boot clock. */
class SuspensionClockTest {

  private static final String REFUSED = "io.cuminvalve.kernel.CodedException: errno 1";
  private static final long EPOCH_MS = 1_700_000_000_000L;

  private long monotonicMs = 5_000;
  private long offsetMs = EPOCH_MS;
  private final List<Long> reportedMs = new ArrayList<>();
  private int readings;
  private int pauseAtReading = -1;
  private long bootOffsetMs = 90_000;
  private boolean bootClockRefused;
  private final List<String> bootClockFailures = new ArrayList<>();

  private final BootClock bootClock = new BootClock(this::readBootClock, bootClockFailures::add);

  private final SuspensionClock clockWithBootClock =
      new SuspensionClock(
          this::readMonotonic, () -> monotonicMs + offsetMs, bootClock, reportedMs::add);

  /** The wall clock alone shows suspensions to it. */
  private final SuspensionClock clock =
      new SuspensionClock(
          this::readMonotonic,
          () -> monotonicMs + offsetMs,
          BootClock.unavailable("not simulated"),
          reportedMs::add);

  private long readMonotonic() {
    readings++;
    if (readings == pauseAtReading) {
      monotonicMs += 3_000;
    }
    return monotonicMs;
  }

  private long readBootClock() {
    if (bootClockRefused) {
      throw new CodedException(ErrorCode.INTERNAL, "errno 1");
    }
    return monotonicMs + bootOffsetMs;
  }

  /** Suspends the host; the wall clock is set by some time before the process runs again. */
  private void suspend(long forMs, long wallClockStepMs) {
    bootOffsetMs += forMs;
    offsetMs += forMs + wallClockStepMs;
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

  /** Guards against two owners: a term holder that does not notice it renews expired leases. */
  @Test
  void suspensionThatBackwardStepHidesIsAddedToUpperBound() {
    final UpperTime start = clockWithBootClock.upper();
    final long startMs = clockWithBootClock.nowMs();
    suspend(25_000, -25_000);
    assertThat(clockWithBootClock.upper().sinceMs(start)).isEqualTo(25_000);
    assertThat(clockWithBootClock.nowMs()).isEqualTo(startMs);
    assertThat(reportedMs).containsExactly(25_000L);
  }

  @Test
  void suspensionThatBothClocksShowIsAddedOnce() {
    final UpperTime start = clockWithBootClock.upper();
    suspend(7_000, 0);
    assertThat(clockWithBootClock.upper().sinceMs(start)).isEqualTo(7_000);
    assertThat(clockWithBootClock.upper().sinceMs(start)).isEqualTo(7_000);
    suspend(2_000, 3_000);
    assertThat(clockWithBootClock.upper().sinceMs(start)).isEqualTo(12_000);
    assertThat(reportedMs).containsExactly(7_000L, 5_000L).inOrder();
  }

  /** The virtual machine was paused with all its clocks, and the time is corrected afterwards. */
  @Test
  void gainOfWallClockAloneIsAddedToUpperBound() {
    final UpperTime start = clockWithBootClock.upper();
    offsetMs += 25_000;
    assertThat(clockWithBootClock.upper().sinceMs(start)).isEqualTo(25_000);
  }

  @Test
  void shortSuspensionsAddUp() {
    final UpperTime start = clockWithBootClock.upper();
    for (int i = 0; i < 1_000; i++) {
      suspend(60, -60);
      clockWithBootClock.upper();
    }
    assertThat(clockWithBootClock.upper().sinceMs(start)).isEqualTo(60_000);
  }

  @Test
  void pausesWithinOneReadingAreNoSuspensions() {
    clockWithBootClock.upper();
    for (int reading = 1; reading <= 6; reading++) {
      pauseAtReading = readings + reading;
      clockWithBootClock.upper();
      clockWithBootClock.upper();
    }
    assertThat(reportedMs).isEmpty();
    assertThat(bootClockFailures).isEmpty();
  }

  @Test
  void upperBoundCoversEverySuspensionWhateverTheWallClockDoes() {
    Random random = new Random(11);
    final UpperTime start = clockWithBootClock.upper();
    long elapsedMs = 0;
    for (int i = 0; i < 100_000; i++) {
      long forMs = random.nextInt(20);
      monotonicMs += forMs;
      elapsedMs += forMs;
      if (random.nextInt(50) == 0) {
        long suspendedForMs = random.nextInt(10_000);
        suspend(suspendedForMs, random.nextInt(40_000) - 30_000L);
        elapsedMs += suspendedForMs;
      }
      assertThat(clockWithBootClock.upper().sinceMs(start))
          .isAtLeast(elapsedMs - SuspensionClock.SUSPENSION_THRESHOLD_MS);
    }
  }

  @Test
  void bootClockThatFallsBehindIsNotUsedAnyLonger() {
    final UpperTime start = clockWithBootClock.upper();
    bootOffsetMs -= 101;
    assertThat(clockWithBootClock.upper().sinceMs(start)).isEqualTo(0);
    assertThat(bootClockFailures)
        .containsExactly("boot clock fell behind the monotonic clock by 101 ms");
    bootOffsetMs += 50_000;
    assertThat(clockWithBootClock.upper().sinceMs(start)).isEqualTo(0);
    assertThat(bootClockFailures).hasSize(1);
    offsetMs += 7_000;
    assertThat(clockWithBootClock.upper().sinceMs(start)).isEqualTo(7_000);
  }

  @Test
  void wallClockIsUsedWhileBootClockIsRefused() {
    final UpperTime start = clockWithBootClock.upper();
    bootClockRefused = true;
    suspend(7_000, 0);
    assertThat(clockWithBootClock.upper().sinceMs(start)).isEqualTo(7_000);
    assertThat(bootClockFailures).containsExactly(REFUSED);
  }
}
