package io.cuminvalve.cli.story;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.lease.OrderOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ReasonsTest {

  @Test
  void unknownReasonKeepsItsName() {
    assertThat(Reasons.of("OddException")).isEqualTo("its attempt failed (OddException)");
    assertThat(Reasons.of("no_target")).isEqualTo("no target of the service was ready");
  }

  @ParameterizedTest
  @EnumSource(OrderOutcome.class)
  void everyOutcomeButSuccessIsExplained(OrderOutcome outcome) {
    assertThat(Reasons.ofOutcome(outcome.name()).isEmpty()).isEqualTo(outcome == OrderOutcome.DONE);
  }
}
