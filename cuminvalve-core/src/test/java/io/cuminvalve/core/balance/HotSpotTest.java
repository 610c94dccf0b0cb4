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
 * Guards against slow spreading of a hot spot in a large service: many neighbouring keys that
 * belong to one or two targets become hot together for a few seconds.
 *
 * <p>Under ordinary load, 201 targets of 4 slots are two thirds busy. Then 60 neighbouring keys
 * receive 44% of all requests, or 200 keys receive 33%, for 4 to 5 s. The test measures which share
 * of the load the slots serve over that time. Keys that are moving serve nothing for one round.
 */
class HotSpotTest {

  private static final int TARGETS = 201;
  private static final int SLOTS = 4;
  private static final double BUSY_SLOTS = 537;
  private static final double TIME_CONSTANT_MS = 2_000;

  /** Balancing rounds in 4 s. */
  private static final int ROUNDS = 16;

  private static final BalancerSettings HALVING_SETTINGS =
      new BalancerSettings(1.3, 0.45, 0.2, 0.4, 1.1, 1_000, KeyRange.KEY_COUNT / 16);

  /** Plans the moves of one round. */
  private interface Policy {
    List<RangeMove> plan(List<TargetLoad> targets, KeyLoads loads, RelativeLatencies latencies);
  }

  @Test
  void sixtyHotKeysAreSpreadWithinSeconds() {
    assertThat(servedShare(60, 0.44, planner())).isAtLeast(0.9);
  }

  @Test
  void twoHundredHotKeysAreSpreadWithinSeconds() {
    assertThat(servedShare(200, 0.33, planner())).isAtLeast(0.9);
  }

  /** Compares with a policy whose number of moves does not grow with the service. */
  @Test
  void fixedMoveLimitAndHalvingServeFarLess() {
    Policy baseline = new FixedMoveLimitPolicy();
    assertThat(servedShare(60, 0.44, baseline)).isLessThan(servedShare(60, 0.44, planner()) - 0.3);
    assertThat(servedShare(200, 0.33, baseline))
        .isLessThan(servedShare(200, 0.33, planner()) - 0.015);
  }

  private static Policy planner() {
    return new MovePlanner(new HotKeyPlacement(), new RangeBalancer(BalancerSettings.DEFAULT))
        ::plan;
  }

  /** Moves one hot key at a time, and other keys, at most ten moves, only if there is none. */
  private static final class FixedMoveLimitPolicy implements Policy {

    private final HotKeyPlacement hotKeys = new HotKeyPlacement();
    private final RangeBalancer balancer = new RangeBalancer(HALVING_SETTINGS);

    @Override
    public List<RangeMove> plan(
        List<TargetLoad> targets, KeyLoads loads, RelativeLatencies latencies) {
      List<RangeMove> moves = hotKeys.plan(targets, loads, latencies, 1);
      return moves.isEmpty() ? balancer.plan(targets, loads, 10) : moves;
    }
  }

  /** Returns the share of the total load that the slots serve over all rounds. */
  private static double servedShare(int hotKeys, double share, Policy policy) {
    KeyLoads loads = new KeyLoads(TIME_CONSTANT_MS, 0);
    for (int key = 0; key < KeyRange.KEY_COUNT; key++) {
      loads.add(key, BUSY_SLOTS * (1 - share) / KeyRange.KEY_COUNT * TIME_CONSTANT_MS);
    }
    int first = 20_000;
    for (int key = first; key < first + hotKeys; key++) {
      loads.add(key, BUSY_SLOTS * share / hotKeys * TIME_CONSTANT_MS);
    }
    RelativeLatencies latencies = new RelativeLatencies();
    Map<TargetId, TargetLoad> targets = evenTargets(latencies);
    double served = 0;
    for (int round = 0; round < ROUNDS; round++) {
      targets.replaceAll((id, target) -> completeMoves(target));
      List<RangeMove> moves = policy.plan(List.copyOf(targets.values()), loads, latencies);
      moves.forEach(move -> startMove(move, targets));
      for (TargetLoad target : targets.values()) {
        served += Math.min(SLOTS, loadOf(target.ranges(), loads));
      }
    }
    return served / (ROUNDS * BUSY_SLOTS);
  }

  /**
   * Targets with even key shares; a third of them have 0.67, a third 1.5 times the mean latency.
   */
  private static Map<TargetId, TargetLoad> evenTargets(RelativeLatencies latencies) {
    Map<TargetId, TargetLoad> targets = new LinkedHashMap<>();
    for (int i = 0; i < TARGETS; i++) {
      TargetId id = new TargetId("t" + i);
      int first = KeyRange.KEY_COUNT * i / TARGETS;
      int last = KeyRange.KEY_COUNT * (i + 1) / TARGETS - 1;
      targets.put(id, new TargetLoad(id, SLOTS, List.of(new KeyRange(first, last)), List.of()));
      latencies.onAnswers(id, new double[] {0.67, 1, 1.5}[i % 3], 1_000_000);
    }
    return targets;
  }

  private static TargetLoad completeMoves(TargetLoad target) {
    List<KeyRange> ranges = new ArrayList<>(target.ranges());
    ranges.addAll(target.otherRanges());
    return new TargetLoad(target.id(), target.slots(), ranges, List.of());
  }

  private static void startMove(RangeMove move, Map<TargetId, TargetLoad> targets) {
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
