package io.cuminvalve.core.balance;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.List;
import org.junit.jupiter.api.Test;

class OverloadPolicyTest {

  private static final KeyRange HOT = new KeyRange(50, 50);
  private static final KeyRange WIDE = new KeyRange(100, 20_000);
  private static final double TIME_CONSTANT_MS = 1_000;

  private final KeyLoads loads = new KeyLoads(TIME_CONSTANT_MS, 0);
  private final OverloadPolicy policy = new OverloadPolicy();
  private final TargetLoad target =
      new TargetLoad(new TargetId("a"), 4, List.of(HOT, WIDE), List.of());

  @Test
  void nothingIsRefusedWithinTheCapacity() {
    addLoad(50, 2);
    addLoad(500, 1.5);
    assertThat(policy.refusedPercent(List.of(target), loads)).isEmpty();
  }

  @Test
  void onlyTheHotKeyIsRefused() {
    addLoad(50, 8);
    assertThat(policy.refusedPercent(List.of(target), loads)).containsExactly(HOT, 55);
  }

  @Test
  void manyBusyKeysAreRefusedEvenly() {
    final TargetLoad even =
        new TargetLoad(
            new TargetId("b"),
            2,
            List.of(new KeyRange(0, 9), new KeyRange(10, 19), new KeyRange(20, 29)),
            List.of());
    addLoad(5, 2.5);
    addLoad(15, 2.5);
    addLoad(25, 2.5);
    assertThat(policy.refusedPercent(List.of(even), loads).values()).containsExactly(75, 75, 75);
  }

  @Test
  void someRequestsAlwaysPass() {
    addLoad(50, 1_000);
    assertThat(policy.refusedPercent(List.of(target), loads)).containsExactly(HOT, 95);
  }

  private void addLoad(int key, double slots) {
    loads.add(key, slots * TIME_CONSTANT_MS);
  }
}
