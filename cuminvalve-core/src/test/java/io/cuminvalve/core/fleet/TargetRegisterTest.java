package io.cuminvalve.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.List;
import org.junit.jupiter.api.Test;

class TargetRegisterTest {

  private final TargetRegister register = new TargetRegister();

  @Test
  void renewedRegistrationChangesNothing() {
    assertThat(register.put(target("a", TargetPhase.READY, 3_000))).isTrue();
    assertThat(register.put(target("a", TargetPhase.READY, 1_000))).isFalse();
    assertThat(register.version()).isEqualTo(1);
  }

  @Test
  void drainingChangesRouting() {
    register.put(target("a", TargetPhase.READY, 0));
    assertThat(register.put(target("a", TargetPhase.DRAINING, 0))).isTrue();
  }

  @Test
  void missingEntriesAreKeptWhileTheyMayComeBack() {
    register.put(target("a", TargetPhase.READY, 0));
    assertThat(register.replaceAll(List.of(), true)).isFalse();
    assertThat(register.all()).hasSize(1);
    assertThat(register.replaceAll(List.of(), false)).isTrue();
    assertThat(register.all()).isEmpty();
  }

  @Test
  void theLaterRunOfOneTargetReplacesTheEarlierOne() {
    register.put(target("a@10", TargetPhase.READY, 0));
    assertThat(register.put(target("a@20", TargetPhase.READY, 0))).isTrue();
    assertThat(register.runsOf(new TargetId("a"))).containsExactly(new TargetId("a@20"));
  }

  @Test
  void lateUpdateOfAnEarlierRunChangesNothing() {
    register.put(target("a@20", TargetPhase.READY, 0));
    assertThat(register.put(target("a@10", TargetPhase.DRAINING, 0))).isFalse();
    assertThat(register.find(new TargetId("a@20")).orElseThrow().isReady()).isTrue();
    assertThat(register.all()).hasSize(1);
  }

  /** An older copy of the registry shows a target in the state before it began to leave. */
  @Test
  void targetsThatLeaveDoNotComeBackAsTheSameRun() {
    register.put(target("a@10", TargetPhase.DRAINING, 0));
    assertThat(register.put(target("a@10", TargetPhase.READY, 0))).isFalse();
    assertThat(register.find(new TargetId("a@10")).orElseThrow().isReady()).isFalse();
    assertThat(register.put(target("a@20", TargetPhase.READY, 0))).isTrue();
    assertThat(register.find(new TargetId("a@20")).orElseThrow().isReady()).isTrue();
  }

  private static FleetTarget target(String id, TargetPhase phase, long coldMs) {
    return new FleetTarget(
        new TargetId(id),
        new ServiceId("core"),
        "10.0.0.1:80",
        new DataCentreId("zone"),
        4,
        phase,
        coldMs);
  }
}
