package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Places each hot key on a fast target that owns no other hot key.
 *
 * <p>A key has exactly one owner, so its throughput is limited by the speed of that owner.
 *
 * @since 0.2
 */
public final class HotKeyPlacement {

  /** Share of a target's capacity above which a single key counts as hot. */
  private static final double HOT_SHARE = 0.45;

  /** Minimum speed-up by a move; below it, a move costs more than it gains. */
  private static final double MIN_SPEEDUP = 1.2;

  /**
   * Plans moves of hot keys, the hottest first.
   *
   * @param targets the targets that may own keys; not null
   * @param loads the load of each key; not null
   * @param latencies the relative latency of each target; not null
   * @param maxMoves the maximum number of moves
   * @return the moves; empty if no hot key has a better place; never null
   */
  public List<RangeMove> plan(
      List<TargetLoad> targets, KeyLoads loads, RelativeLatencies latencies, int maxMoves) {
    List<HotKey> hotKeys = new ArrayList<>();
    List<TargetLoad> candidates = new ArrayList<>();
    for (TargetLoad target : targets) {
      List<HotKey> movable = hotKeysOf(target, target.ranges(), loads);
      hotKeys.addAll(movable);
      if (movable.isEmpty() && hotKeysOf(target, target.otherRanges(), loads).isEmpty()) {
        candidates.add(target);
      }
    }
    hotKeys.sort(Comparator.comparingDouble(HotKey::load).reversed());
    List<RangeMove> moves = new ArrayList<>();
    Set<TargetId> retainingOwners = new HashSet<>();
    for (HotKey hot : hotKeys) {
      boolean sharesOwner = retainingOwners.contains(hot.owner().id());
      Optional<TargetLoad> destination = fastest(candidates, hot.owner(), sharesOwner, latencies);
      if (destination.isPresent() && moves.size() < maxMoves) {
        candidates.remove(destination.get());
        KeyRange keys = new KeyRange(hot.key(), hot.key());
        moves.add(new RangeMove(keys, hot.owner().id(), destination.get().id()));
      } else {
        retainingOwners.add(hot.owner().id());
      }
    }
    return moves;
  }

  /**
   * Finds the fastest candidate that is worth a move. If the owner keeps a hotter key, any
   * candidate is better.
   */
  private static Optional<TargetLoad> fastest(
      List<TargetLoad> candidates,
      TargetLoad owner,
      boolean sharesOwner,
      RelativeLatencies latencies) {
    double maxCost = sharesOwner ? Double.MAX_VALUE : relativeCost(owner, latencies) / MIN_SPEEDUP;
    return candidates.stream()
        .filter(target -> relativeCost(target, latencies) < maxCost)
        .min(Comparator.comparingDouble(target -> relativeCost(target, latencies)));
  }

  private static double relativeCost(TargetLoad target, RelativeLatencies latencies) {
    return latencies.of(target.id()) / target.capacity();
  }

  private static List<HotKey> hotKeysOf(TargetLoad owner, List<KeyRange> ranges, KeyLoads loads) {
    List<HotKey> found = new ArrayList<>();
    double threshold = owner.capacity() * HOT_SHARE;
    for (KeyRange range : ranges) {
      for (int key = range.first(); key <= range.last(); key++) {
        if (loads.of(key) > threshold) {
          found.add(new HotKey(key, loads.of(key), owner));
        }
      }
    }
    return found;
  }

  /** A hot key with its load and its owner. */
  private record HotKey(int key, double load, TargetLoad owner) {}
}
