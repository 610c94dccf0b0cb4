package io.cuminvalve.kernel;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;

/** Tests the boot clock of this machine and simulated ones that fail. */
class BootClockTest {

  private static final int READINGS = 10_000;
  private static final String REFUSED = "io.cuminvalve.kernel.CodedException: errno 1";

  private final List<String> failures = new ArrayList<>();
  private int readings;

  /** Guards against a deployed program whose only clocks are those that can hide a suspension. */
  @Test
  @EnabledOnOs(OS.LINUX)
  void readsTheClockOfTheSystem() {
    BootClock clock = BootClock.system(failures::add);
    assertThat(clock.failure()).isEmpty();
    assertThat(clock.readMs().getAsLong()).isAtLeast(0);
  }

  @Test
  @EnabledOnOs(OS.LINUX)
  void clockOfTheSystemNeverFallsBehindMonotonicClock() {
    BootClock clock = BootClock.system(failures::add);
    MillisClock monotonic = MillisClock.system();
    final long startMs = clock.readMs().getAsLong();
    final long monotonicStartMs = monotonic.nowMs();
    long lastMs = startMs;
    for (int i = 0; i < READINGS; i++) {
      long monotonicMs = monotonic.nowMs() - monotonicStartMs;
      long nextMs = clock.readMs().getAsLong();
      assertThat(nextMs).isAtLeast(lastMs);
      // Both readings are rounded down.
      assertThat(nextMs - startMs).isAtLeast(monotonicMs - 1);
      lastMs = nextMs;
    }
    assertThat(failures).isEmpty();
  }

  @Test
  @EnabledOnOs(OS.LINUX)
  void clockOfTheSystemGoesOnBetweenReadings() {
    BootClock clock = BootClock.system(failures::add);
    final long startMs = clock.readMs().getAsLong();
    MillisClock monotonic = MillisClock.system();
    final long monotonicStartMs = monotonic.nowMs();
    while (monotonic.nowMs() - monotonicStartMs < 2) {
      Thread.onSpinWait();
    }
    assertThat(clock.readMs().getAsLong()).isGreaterThan(startMs);
  }

  @Test
  void refusedReadingIsReportedOnceAndNotRepeated() {
    BootClock clock =
        new BootClock(
            () -> {
              readings++;
              throw new CodedException(ErrorCode.INTERNAL, "errno 1");
            },
            failures::add);
    assertThat(clock.readMs()).isEmpty();
    assertThat(clock.readMs()).isEmpty();
    assertThat(readings).isEqualTo(1);
    assertThat(failures).containsExactly(REFUSED);
    assertThat(clock.failure()).hasValue(REFUSED);
  }

  @Test
  void reasonsHaveOneLine() {
    BootClock clock =
        new BootClock(
            () -> {
              throw new IllegalStateException("expected:\n  7\nfound:\t8");
            },
            failures::add);
    assertThat(clock.readMs()).isEmpty();
    assertThat(failures).containsExactly("java.lang.IllegalStateException: expected: 7 found: 8");
  }

  @Test
  void unavailableClockGivesItsReason() {
    BootClock clock = BootClock.unavailable("library missing");
    assertThat(clock.readMs()).isEmpty();
    assertThat(clock.failure()).hasValue("library missing");
  }
}
