package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.kernel.BootClock;
import io.cuminvalve.kernel.SuspensionClock;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks leases while the wall clock of the term holder's host is stepped. */
class LeaseClockTest {

  private static final ServiceId SERVICE = new ServiceId("core");
  private static final TargetId A = new TargetId("a");
  private static final TargetId B = new TargetId("b");
  private static final KeyRange FIRST_KEYS = new KeyRange(0, 99);
  private static final LeaseTimings TIMINGS =
      new LeaseTimings(4_000, 10_000, 1_000, 1_800, 5, 200, 0.02, 150, 9_500);

  private long passedMs = 1_000;
  private long timeOfDayMs = 1_700_000_000_000L;
  private long tokens;
  private final SuspensionClock clock =
      new SuspensionClock(
          () -> passedMs,
          () -> timeOfDayMs,
          new BootClock(() -> passedMs, failure -> {}),
          forMs -> {});
  private final LeaseManager manager = new LeaseManager(SERVICE, TIMINGS, () -> ++tokens);

  @BeforeEach
  void partition() {
    manager.partition(List.of(target(A), target(B)));
    manager.onWritten(manager.version());
    manager
        .due(clock.nowMs(), target -> true)
        .forEach(
            order ->
                manager.onGrantEnded(
                    (LeaseOrder.Grant) order, OrderOutcome.DONE, clock.nowMs(), clock.nowMs()));
  }

  /** Guards against keys that are granted to a second target after a step of the wall clock. */
  @Test
  void leasesRunOnWhenTheTimeOfDayIsSetAhead() {
    manager.move(FIRST_KEYS, B, clock.nowMs());
    manager.onWritten(manager.version());
    for (LeaseOrder order : manager.due(clock.nowMs(), target -> true)) {
      manager.onReleaseEnded(
          (LeaseOrder.Release) order, OrderOutcome.UNANSWERED, Optional.empty(), clock.nowMs());
    }
    final long endsMs = TIMINGS.boundMs(TIMINGS.leaseMs());
    timeOfDayMs += 9_000;
    assertThat(grantsOfFirstKeysToB()).isEqualTo(0);
    advance(1_500);
    timeOfDayMs -= 9_000;
    advance(500);
    timeOfDayMs += 9_000;
    advance(endsMs - 2_001);
    assertThat(grantsOfFirstKeysToB()).isEqualTo(0);
    advance(1);
    assertThat(grantsOfFirstKeysToB()).isEqualTo(1);
  }

  private void advance(long forMs) {
    passedMs += forMs;
    timeOfDayMs += forMs;
  }

  private long grantsOfFirstKeysToB() {
    return manager.due(clock.nowMs(), target -> true).stream()
        .filter(LeaseOrder.Grant.class::isInstance)
        .filter(order -> order.target().equals(B) && order.range().contains(FIRST_KEYS))
        .count();
  }

  private static FleetTarget target(TargetId id) {
    return new FleetTarget(
        id, SERVICE, "10.0.0.1:80", new DataCentreId("dc"), 4, TargetPhase.READY, 0);
  }
}
