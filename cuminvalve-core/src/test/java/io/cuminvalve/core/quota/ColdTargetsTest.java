package io.cuminvalve.core.quota;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import java.util.Map;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class ColdTargetsTest {

  private static final TargetId TARGET = TargetId.ofRun("one", 1);

  private final ColdTargets targets = new ColdTargets();

  @Test
  void limitsEndByThemselves() {
    assertThat(targets.onCold(TARGET, 4, 3_000, 0)).isTrue();
    assertThat(targets.limitOf(TARGET, 2_999)).isEqualTo(OptionalDouble.of(4));
    assertThat(targets.leftMs(TARGET, 1_000)).isEqualTo(2_000);
    assertThat(targets.limitOf(TARGET, 3_000)).isEqualTo(OptionalDouble.empty());
    assertThat(targets.limits(3_000)).isEmpty();
  }

  @Test
  void olderKnowledgeShortensNothing() {
    targets.onCold(TARGET, 4, 3_000, 0);
    assertThat(targets.onCold(TARGET, 4, 2_000, 100)).isFalse();
    assertThat(targets.limits(2_500)).isEqualTo(Map.of(TARGET, 4.0));
  }

  @Test
  void targetsMayBecomeColdAgain() {
    targets.onCold(TARGET, 4, 3_000, 0);
    assertThat(targets.onCold(TARGET, 4, 9_000, 6_000)).isTrue();
    assertThat(targets.limitOf(TARGET, 8_000)).isEqualTo(OptionalDouble.of(4));
  }

  @Test
  void targetsThatAreWarmAlreadyHaveNoLimit() {
    assertThat(targets.onCold(TARGET, 4, 3_000, 3_000)).isFalse();
    assertThat(targets.isEmpty()).isTrue();
  }

  /** Two and a half times the rate and two more requests must fit into a second. */
  @Test
  void issuedRateKeepsTheBoundInTheWorstSecond() {
    ColdBound bound = new ColdBound(1.5, 8);
    for (double perS : new double[] {0.5, 1, 4, 20, 200}) {
      double issued = bound.issuedPerS(perS);
      assertThat(2.5 * issued + 2).isAtMost(1.5 * perS + 8 + 1e-9);
      assertThat(issued).isGreaterThan(0.0);
    }
  }
}
