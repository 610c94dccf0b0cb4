package io.cuminvalve.core.balance;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RangeDefragmenterTest {

  private static final TargetId A = new TargetId("a");
  private static final TargetId B = new TargetId("b");

  private final KeyLoads loads = new KeyLoads(1_000, 0);
  private final RangeDefragmenter defragmenter = new RangeDefragmenter();

  @Test
  void coldFragmentsGoBackToTheirNeighbour() {
    TargetLoad a = load(A, new KeyRange(0, 4_999), new KeyRange(5_100, 30_000));
    TargetLoad b = load(B, new KeyRange(5_000, 5_099), new KeyRange(30_001, 65_535));
    assertThat(defragmenter.plan(List.of(a, b), loads, 10))
        .containsExactly(new RangeMove(new KeyRange(5_000, 5_099), B, A));
  }

  @Test
  void hotFragmentsStay() {
    loads.add(5_050, 900);
    TargetLoad a = load(A, new KeyRange(0, 4_999), new KeyRange(5_100, 30_000));
    TargetLoad b = load(B, new KeyRange(5_000, 5_099), new KeyRange(30_001, 65_535));
    assertThat(defragmenter.plan(List.of(a, b), loads, 10)).isEmpty();
  }

  @Test
  void evenSharesOfLargeServicesAreNoFragments() {
    List<TargetLoad> targets = new ArrayList<>();
    int keys = KeyRange.KEY_COUNT / 256;
    for (int i = 0; i < 128; i++) {
      int first = 2 * i * keys;
      KeyRange low = new KeyRange(first, first + keys - 1);
      KeyRange high = new KeyRange(first + keys, first + 2 * keys - 1);
      targets.add(load(new TargetId("t" + i), low, high));
    }
    assertThat(defragmenter.plan(targets, loads, 10)).isEmpty();
  }

  @Test
  void onlyRangesOfTheirTargetStay() {
    TargetLoad a = load(A, new KeyRange(0, 4_999), new KeyRange(5_100, 65_535));
    TargetLoad b = load(B, new KeyRange(5_000, 5_099));
    assertThat(defragmenter.plan(List.of(a, b), loads, 10)).isEmpty();
  }

  private static TargetLoad load(TargetId id, KeyRange... ranges) {
    return new TargetLoad(id, 4, List.of(ranges), List.of());
  }
}
