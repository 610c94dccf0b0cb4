package io.cuminvalve.core.id;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cuminvalve.kernel.CodedException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TargetIdTest {

  private static final TargetId FIRST = TargetId.ofRun("i-1", 99);
  private static final TargetId SECOND = TargetId.ofRun("i-1", 100);

  @Test
  void runsOfOneTargetShareItsName() {
    assertThat(FIRST.name()).isEqualTo("i-1");
    assertThat(new TargetId("i-1").name()).isEqualTo("i-1");
    assertThat(FIRST).isNotEqualTo(SECOND);
    assertThat(new TargetId(FIRST.value())).isEqualTo(FIRST);
  }

  @Test
  void laterStartMeansLaterRun() {
    assertThat(SECOND.isLaterRunOf(FIRST)).isTrue();
    assertThat(FIRST.isLaterRunOf(SECOND)).isFalse();
    assertThat(FIRST.isLaterRunOf(FIRST)).isFalse();
    assertThat(SECOND.isLaterRunOf(TargetId.ofRun("i-2", 1))).isFalse();
  }

  @Test
  void runWithKnownStartIsLaterThanRunWithout() {
    TargetId unknown = new TargetId("i-1");
    assertThat(FIRST.isLaterRunOf(unknown)).isTrue();
    assertThat(unknown.isLaterRunOf(FIRST)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "@1", "i-1@", "i-1@x", "i-1@1@2", "i-1@-1", "i 1", "i-1@1.5"})
  void malformedIdsAreRejected(String value) {
    assertThrows(CodedException.class, () -> new TargetId(value));
  }
}
