package io.cuminvalve.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.kernel.UpperTime;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EvacuationsTest {

  private static final DataCentreId A = new DataCentreId("a");
  private static final DataCentreId B = new DataCentreId("b");
  private static final long GRACE_MS = 2_000;

  @Test
  void ownersContinueUntilTheGraceIsOver() {
    Evacuations evacuations = Evacuations.NONE.with(Set.of(A), new UpperTime(100), 100);
    assertThat(evacuations.includes(A)).isTrue();
    assertThat(evacuations.permitsOwner(A, new UpperTime(100 + GRACE_MS), GRACE_MS)).isTrue();
    assertThat(evacuations.permitsOwner(A, new UpperTime(101 + GRACE_MS), GRACE_MS)).isFalse();
    assertThat(evacuations.permitsOwner(B, new UpperTime(1_000_000), GRACE_MS)).isTrue();
  }

  /** The grace of the first data centre must not begin anew with the evacuation of the second. */
  @Test
  void anotherEvacuationDoesNotExtendTheGrace() {
    Evacuations evacuations =
        Evacuations.NONE
            .with(Set.of(A), new UpperTime(100), 100)
            .with(Set.of(A, B), new UpperTime(1_500), 1_500);
    assertThat(evacuations.permitsOwner(A, new UpperTime(101 + GRACE_MS), GRACE_MS)).isFalse();
    assertThat(evacuations.permitsOwner(B, new UpperTime(1_500 + GRACE_MS), GRACE_MS)).isTrue();
  }

  @Test
  void theEndIsRememberedUntilTheNextEvacuation() {
    Evacuations ended =
        Evacuations.NONE
            .with(Set.of(A), new UpperTime(100), 100)
            .with(Set.of(), new UpperTime(900), 900);
    assertThat(ended.includes(A)).isFalse();
    assertThat(ended.endedMs(A)).isEqualTo(OptionalLong.of(900));
    Evacuations again = ended.with(Set.of(A), new UpperTime(1_000), 1_000);
    assertThat(again.endedMs(A)).isEqualTo(OptionalLong.empty());
    assertThat(again.permitsOwner(A, new UpperTime(1_000 + GRACE_MS), GRACE_MS)).isTrue();
  }
}
