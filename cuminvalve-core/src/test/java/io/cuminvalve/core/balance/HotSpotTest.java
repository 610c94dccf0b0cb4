package io.cuminvalve.core.balance;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Many neighbouring keys turn hot together and stay so for a few seconds, in a wide service.
 *
 * <p>Pattern: on an ordinary second 201 targets of 4 slots are two thirds busy; then 60
 * neighbouring keys get 44% of all requests, or 200 get 33%, for 4 to 5 s. One or two targets own
 * them all. What counts is how much of the load the targets' slots can carry over that time; keys
 * on the move carry none for one look at the load.
 */
class HotSpotTest {

  private static final int TARGETS = 201;
  private static final int SLOTS = 4;
  private static final double BUSY_SLOTS = 537;
  private static final double MEMORY_MS = 2_000;

  /** Looks at the load in 4 s. */
  private static final int LOOKS = 16;

  private static final BalancerSettings HALVING =
      new BalancerSettings(1.3, 0.45, 0.2, 0.4, 1.1, 1_000, KeyRange.KEY_COUNT / 16);

  /** Decides the moves of one look. */
  private interface Policy {
    List<RangeMove> plan(List<TargetLoad> targets, KeyLoads loads, RelativeLatencies speeds);
  }

  @Test
  void sixtyHotKeysAreSpreadWithinSeconds() {
    assertThat(carried(60, 0.44, planner())).isAtLeast(0.9);
  }

  @Test
  void twoHundredHotKeysAreSpreadWithinSeconds() {
    assertThat(carried(200, 0.33, planner())).isAtLeast(0.9);
  }

  /** What the load is like for a policy whose moves do not grow with the service. */
  @Test
  void tenMovesAndHalvesCarryFarLess() {
    Policy former = new FixedMoveLimitPolicy();
    assertThat(carried(60, 0.44, former)).isLessThan(carried(60, 0.44, planner()) - 0.3);
    assertThat(carried(200, 0.33, former)).isLessThan(carried(200, 0.33, planner()) - 0.015);
  }

  private static Policy planner() {
    return new MovePlanner(new HotKeyPlacement(), new RangeBalancer(BalancerSettings.DEFAULT))
        ::plan;
  }

  /** One hot key at a time, and other moves only when there is none. */
  private static final class FixedMoveLimitPolicy implements Policy {

    private final HotKeyPlacement hotKeys = new HotKeyPlacement();
    private final RangeBalancer balancer = new RangeBalancer(HALVING);

    @Override
    public List<RangeMove> plan(
        List<TargetLoad> targets, KeyLoads loads, RelativeLatencies speeds) {
      List<RangeMove> moves = hotKeys.plan(targets, loads, speeds, 1);
      return moves.isEmpty() ? balancer.plan(targets, loads, 10) : moves;
    }
  }

  /** Returns the share of all load that the slots carry, over all looks. */
  private static double carried(int hotKeys, double share, Policy policy) {
    KeyLoads loads = new KeyLoads(MEMORY_MS, 0);
    for (int key = 0; key < KeyRange.KEY_COUNT; key++) {
      loads.add(key, BUSY_SLOTS * (1 - share) / KeyRange.KEY_COUNT * MEMORY_MS);
    }
    int first = 20_000;
    for (int key = first; key < first + hotKeys; key++) {
      loads.add(key, BUSY_SLOTS * share / hotKeys * MEMORY_MS);
    }
    RelativeLatencies speeds = new RelativeLatencies();
    Map<TargetId, TargetLoad> targets = evenTargets(speeds);
    double carried = 0;
    for (int look = 0; look < LOOKS; look++) {
      targets.replaceAll((id, target) -> settled(target));
      List<RangeMove> moves = policy.plan(List.copyOf(targets.values()), loads, speeds);
      moves.forEach(move -> carryOut(move, targets));
      for (TargetLoad target : targets.values()) {
        carried += Math.min(SLOTS, loadOf(target.ranges(), loads));
      }
    }
    return carried / (LOOKS * BUSY_SLOTS);
  }

  /** Every third target is half as fast again, every third half as fast. */
  private static Map<TargetId, TargetLoad> evenTargets(RelativeLatencies speeds) {
    Map<TargetId, TargetLoad> targets = new LinkedHashMap<>();
    for (int i = 0; i < TARGETS; i++) {
      TargetId id = new TargetId("t" + i);
      int first = KeyRange.KEY_COUNT * i / TARGETS;
      int last = KeyRange.KEY_COUNT * (i + 1) / TARGETS - 1;
      targets.put(id, new TargetLoad(id, SLOTS, List.of(new KeyRange(first, last)), List.of()));
      speeds.onAnswers(id, new double[] {0.67, 1, 1.5}[i % 3], 1_000_000);
    }
    return targets;
  }

  private static TargetLoad settled(TargetLoad target) {
    List<KeyRange> ranges = new ArrayList<>(target.ranges());
    ranges.addAll(target.otherRanges());
    return new TargetLoad(target.id(), target.slots(), ranges, List.of());
  }

  private static void carryOut(RangeMove move, Map<TargetId, TargetLoad> targets) {
    TargetLoad from = targets.get(move.from());
    List<KeyRange> left = new ArrayList<>();
    from.ranges().forEach(range -> left.addAll(range.without(move.keys())));
    targets.put(move.from(), new TargetLoad(move.from(), SLOTS, left, from.otherRanges()));
    TargetLoad to = targets.get(move.to());
    List<KeyRange> gained = new ArrayList<>(to.otherRanges());
    gained.add(move.keys());
    targets.put(move.to(), new TargetLoad(move.to(), SLOTS, to.ranges(), gained));
  }

  private static double loadOf(List<KeyRange> ranges, KeyLoads loads) {
    return ranges.stream().mapToDouble(loads::of).sum();
  }
}
