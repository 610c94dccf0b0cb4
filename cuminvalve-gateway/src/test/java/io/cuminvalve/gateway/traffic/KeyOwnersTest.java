package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.RangeRoute;
import java.util.List;
import org.junit.jupiter.api.Test;

class KeyOwnersTest {

  private static final TargetId A = new TargetId("a");
  private static final TargetId B = new TargetId("b");

  private final KeyOwners owners =
      new KeyOwners(List.of(new RangeRoute(0, 9, A, true), new RangeRoute(20, 29, B, false)));

  @Test
  void boundsBelongToTheirRange() {
    assertThat(owners.find(0).orElseThrow().owner()).isEqualTo(A);
    assertThat(owners.find(9).orElseThrow().owner()).isEqualTo(A);
    assertThat(owners.find(20).orElseThrow().owner()).isEqualTo(B);
    assertThat(owners.find(29).orElseThrow().owner()).isEqualTo(B);
  }

  @Test
  void gapsHaveNoOwner() {
    assertThat(owners.find(10)).isEmpty();
    assertThat(owners.find(30)).isEmpty();
    assertThat(new KeyOwners(List.of()).find(0)).isEmpty();
  }
}
