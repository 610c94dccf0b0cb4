package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.TargetRest;
import org.junit.jupiter.api.Test;

class RestingOwnersTest {

  private static final TargetId TARGET = new TargetId("core-0");

  private long nowMs;
  private final RestingOwners resting = new RestingOwners(() -> nowMs, () -> 4);

  @Test
  void countsTheGatewaysThatLeaveTheTargetAlone() {
    resting.onRest(new TargetRest("gateway-1", TARGET, 3_000));
    resting.onRest(new TargetRest("gateway-1", TARGET, 2_900));
    resting.onRest(new TargetRest("gateway-2", TARGET, 1_000));
    assertThat(resting.shareThatMaySend(TARGET)).isEqualTo(0.5);
    nowMs = 1_000;
    assertThat(resting.shareThatMaySend(TARGET)).isEqualTo(0.75);
    nowMs = 2_900;
    assertThat(resting.shareThatMaySend(TARGET)).isEqualTo(1.0);
  }

  @Test
  void shortRestsAndOtherTargetsDoNotCount() {
    resting.onRest(new TargetRest("gateway-1", TARGET, 400));
    resting.onRest(new TargetRest("gateway-2", new TargetId("core-1"), 3_000));
    assertThat(resting.shareThatMaySend(TARGET)).isEqualTo(1.0);
  }

  @Test
  void moreRestsThanGatewaysLeaveNothing() {
    for (int i = 0; i < 6; i++) {
      resting.onRest(new TargetRest("gateway-" + i, TARGET, 3_000));
    }
    assertThat(resting.shareThatMaySend(TARGET)).isEqualTo(0.0);
  }
}
