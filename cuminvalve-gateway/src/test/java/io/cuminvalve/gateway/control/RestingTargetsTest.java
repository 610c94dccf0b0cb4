package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.TargetBackoff;
import io.cuminvalve.core.protocol.TargetBackoffsReport;
import java.util.List;
import org.junit.jupiter.api.Test;

class RestingTargetsTest {

  private static final TargetId TARGET = new TargetId("core-0");

  private long nowMs;
  private int gateways = 4;
  private final RestingTargets resting = new RestingTargets(() -> nowMs, () -> gateways);

  private void report(int gateway, TargetId target, long leftMs) {
    resting.onReport(
        new TargetBackoffsReport("gateway-" + gateway, List.of(new TargetBackoff(target, leftMs))));
  }

  @Test
  void targetsBackOffOnceTheyHaveAskedHalfOfTheGateways() {
    report(1, TARGET, 3_000);
    report(1, TARGET, 2_900);
    assertThat(resting.isResting(TARGET)).isFalse();
    report(2, TARGET, 1_000);
    assertThat(resting.isResting(TARGET)).isTrue();
    nowMs = 1_000;
    assertThat(resting.isResting(TARGET)).isFalse();
  }

  /**
   * In a large fleet each gateway sends a target few requests, so waiting for half of the gateways
   * would take too long.
   */
  @Test
  void inLargeFleetsThreeGatewaysAreEnough() {
    gateways = 95;
    report(1, TARGET, 3_000);
    report(2, TARGET, 3_000);
    assertThat(resting.isResting(TARGET)).isFalse();
    report(3, TARGET, 3_000);
    assertThat(resting.isResting(TARGET)).isTrue();
  }

  @Test
  void shortBackoffsAndOtherTargetsDoNotCount() {
    report(1, TARGET, 400);
    report(2, TARGET, 500);
    report(3, new TargetId("core-1"), 3_000);
    report(4, new TargetId("core-1"), 3_000);
    assertThat(resting.isResting(TARGET)).isFalse();
    assertThat(resting.isResting(new TargetId("core-1"))).isTrue();
  }
}
