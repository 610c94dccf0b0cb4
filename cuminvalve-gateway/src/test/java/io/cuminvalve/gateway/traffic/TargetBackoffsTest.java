package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.gateway.observe.DecisionLog;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class TargetBackoffsTest {

  private static final ServiceId SERVICE = new ServiceId("core");

  private long nowMs;
  private final List<Runnable> scheduled = new ArrayList<>();
  private final List<ServiceId> endedServices = new ArrayList<>();
  private final List<TargetId> started = new ArrayList<>();
  private final TargetBackoffs backoffs =
      new TargetBackoffs(
          () -> nowMs,
          (task, delayMs) -> {
            scheduled.add(task);
            return () -> scheduled.remove(task);
          },
          new SplittableRandom(1),
          new DecisionLog(() -> nowMs, 1, line -> {}));

  private static FleetTarget target(String id) {
    return new FleetTarget(
        new TargetId(id), SERVICE, "10.0.0.1:80", new DataCentreId("dc"), 4, TargetPhase.READY, 0);
  }

  @Test
  void backoffsLastAtLeastAsLongAsAsked() {
    backoffs.start(target("a"), 3_000);
    nowMs = 2_999;
    assertThat(backoffs.remainingMs(new TargetId("a"))).isAtLeast(1);
    nowMs = 3_251;
    assertThat(backoffs.remainingMs(new TargetId("a"))).isEqualTo(0);
  }

  @Test
  void shorterBackoffsDoNotEndLongerOnes() {
    backoffs.start(target("a"), 3_000);
    backoffs.start(target("a"), 100);
    assertThat(backoffs.remainingMs(new TargetId("a"))).isIn(Range.closed(3_000L, 3_250L));
  }

  @Test
  void backoffsStartOnceAndEndByTheClockOnly() {
    backoffs.onStart(target -> started.add(target.id()));
    backoffs.onEnd(endedServices::add);
    backoffs.start(target("a"), 1_000);
    backoffs.start(target("a"), 1_000);
    assertThat(started).containsExactly(new TargetId("a"));
    assertThat(backoffs.takeStarted().keySet()).containsExactly(new TargetId("a"));
    assertThat(backoffs.takeStarted()).isEmpty();
    Runnable early = scheduled.remove(0);
    nowMs = 500;
    early.run();
    assertThat(endedServices).isEmpty();
    nowMs = 1_101;
    List.copyOf(scheduled).forEach(Runnable::run);
    assertThat(endedServices).contains(SERVICE);
  }

  @Test
  void memoryIsBounded() {
    for (int i = 0; i < TargetBackoffs.MAX_TARGETS + 100; i++) {
      backoffs.start(target("t" + i), 10_000 + i);
    }
    assertThat(backoffs.remainingMsByTarget()).hasSize(TargetBackoffs.MAX_TARGETS);
  }
}
