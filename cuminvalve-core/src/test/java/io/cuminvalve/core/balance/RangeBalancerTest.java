package io.cuminvalve.core.balance;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.List;
import org.junit.jupiter.api.Test;

class RangeBalancerTest {

  private static final TargetId A = new TargetId("a");
  private static final TargetId B = new TargetId("b");
  private static final TargetId C = new TargetId("c");
  private static final double TIME_CONSTANT_MS = 1_000;

  private final KeyLoads loads = new KeyLoads(TIME_CONSTANT_MS, 0);
  private final RangeBalancer balancer = new RangeBalancer(BalancerSettings.DEFAULT);
  private final TargetLoad first = target(A, new KeyRange(0, 9_999));
  private final TargetLoad second = target(B, new KeyRange(10_000, 19_999));
  private final TargetLoad third = target(C, new KeyRange(20_000, 65_535));

  @Test
  void evenLoadIsLeftAlone() {
    addLoad(100, 2.0);
    addLoad(10_100, 2.0);
    addLoad(20_100, 2.0);
    assertThat(balancer.plan(List.of(first, second, third), loads, 10)).isEmpty();
  }

  @Test
  void theBusyTargetGivesToSeveralAtOnce() {
    for (int key = 5_000; key < 5_040; key++) {
      addLoad(key, 0.1);
    }
    List<RangeMove> moves = balancer.plan(List.of(first, second, third), loads, 10);
    assertThat(moves.stream().map(RangeMove::to).toList()).containsAtLeast(B, C);
    assertThat(moves.stream().allMatch(move -> move.from().equals(A))).isTrue();
    double left = 4.0;
    for (RangeMove move : moves) {
      assertThat(first.ranges().get(0).contains(move.keys())).isTrue();
      left -= loads.of(move.keys());
    }
    assertThat(left).isLessThan(2.5);
  }

  @Test
  void movesOfOnePlanDoNotOverlap() {
    for (int key = 0; key < 10_000; key += 50) {
      addLoad(key, 0.04);
    }
    List<RangeMove> moves = balancer.plan(List.of(first, second, third), loads, 10);
    assertThat(moves.size()).isAtLeast(2);
    for (int i = 0; i < moves.size(); i++) {
      for (int j = i + 1; j < moves.size(); j++) {
        KeyRange one = moves.get(i).keys();
        KeyRange other = moves.get(j).keys();
        assertThat(one.last() < other.first() || other.last() < one.first()).isTrue();
      }
    }
  }

  @Test
  void movingRangesCountAsLoadAndStay() {
    for (int key = 5_000; key < 5_040; key++) {
      addLoad(key, 0.1);
    }
    TargetLoad moving = new TargetLoad(A, 4, List.of(), first.ranges());
    assertThat(balancer.plan(List.of(moving, second, third), loads, 10)).isEmpty();
  }

  @Test
  void theTargetThatWaitsForKeysStillGivesHotOnes() {
    for (int key = 5_000; key < 5_040; key++) {
      addLoad(key, 0.1);
    }
    TargetLoad waiting =
        new TargetLoad(A, 4, first.ranges(), List.of(new KeyRange(30_000, 30_100)));
    TargetLoad rest = target(C, new KeyRange(20_000, 29_999), new KeyRange(30_101, 65_535));
    assertThat(balancer.plan(List.of(waiting, second, rest), loads, 10)).isNotEmpty();
  }

  @Test
  void theNewTargetGetsKeysWithoutAnyLoad() {
    TargetLoad fresh = new TargetLoad(new TargetId("d"), 4, List.of(), List.of());
    List<RangeMove> moves = balancer.plan(List.of(first, second, third, fresh), loads, 10);
    assertThat(moves.stream().map(RangeMove::to).toList()).contains(fresh.id());
  }

  @Test
  void theNewTargetGetsKeysFromTheOnlyOtherOne() {
    TargetLoad only = target(A, KeyRange.ALL);
    TargetLoad fresh = new TargetLoad(B, 4, List.of(), List.of());
    assertThat(balancer.plan(List.of(only, fresh), loads, 10)).hasSize(1);
  }

  @Test
  void theHotKeyGoesToTheMuchFasterTarget() {
    addLoad(77, 3.0);
    RelativeLatencies latencies = new RelativeLatencies();
    latencies.onAnswers(B, 0.4, 1_000);
    List<RangeMove> moves =
        new HotKeyPlacement().plan(List.of(first, second, third), loads, latencies, 10);
    assertThat(moves).containsExactly(new RangeMove(new KeyRange(77, 77), A, B));
  }

  @Test
  void theHotKeyAtTheFastestTargetStays() {
    addLoad(77, 3.0);
    RelativeLatencies latencies = new RelativeLatencies();
    latencies.onAnswers(A, 0.4, 1_000);
    assertThat(new HotKeyPlacement().plan(List.of(first, second, third), loads, latencies, 10))
        .isEmpty();
  }

  @Test
  void coldFragmentsGoBackToTheirNeighbours() {
    TargetLoad left = target(A, new KeyRange(0, 499), new KeyRange(600, 30_000));
    TargetLoad right = target(B, new KeyRange(500, 599), new KeyRange(30_001, 65_535));
    List<RangeMove> moves = new RangeDefragmenter().plan(List.of(left, right), loads, 10);
    assertThat(moves).containsExactly(new RangeMove(new KeyRange(0, 499), A, B));
  }

  @Test
  void theHotFragmentStays() {
    addLoad(550, 1.0);
    TargetLoad left = target(A, new KeyRange(0, 5_000), new KeyRange(5_100, 30_000));
    TargetLoad right = target(B, new KeyRange(5_001, 5_099), new KeyRange(30_001, 65_535));
    addLoad(5_050, 1.0);
    assertThat(new RangeDefragmenter().plan(List.of(left, right), loads, 10)).isEmpty();
  }

  @Test
  void oldLoadDecays() {
    addLoad(1, 2.0);
    loads.decay(5_000);
    assertThat(loads.of(1)).isLessThan(0.1);
  }

  private void addLoad(int key, double slots) {
    loads.add(key, slots * TIME_CONSTANT_MS);
  }

  private static TargetLoad target(TargetId id, KeyRange... ranges) {
    return new TargetLoad(id, 4, List.of(ranges), List.of());
  }
}
