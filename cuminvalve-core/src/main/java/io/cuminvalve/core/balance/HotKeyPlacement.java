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
 * Brings each key that keeps much of a target busy to a fast target that has no other such key.
 *
 * <p>One key has one owner, so nothing but the speed of that owner bounds how often it is served.
 *
 * @since 0.2
 */
public final class HotKeyPlacement {

  /** Busy share of the slots from which one key counts as hot. */
  private static final double HOT_SHARE = 0.45;

  /** How much faster another target has to be; below that a move gains less than it costs. */
  private static final double WORTHWHILE = 1.2;

  /**
   * Finds moves of hot keys, the hottest first.
   *
   * @param targets the targets that may own keys; not null
   * @param loads the load of each key; not null
   * @param speeds the speed of each target; not null
   * @param maxMoves at most so many
   * @return empty if every hot key is where it should be; never null
   */
  public List<RangeMove> plan(
      List<TargetLoad> targets, KeyLoads loads, RelativeLatencies speeds, int maxMoves) {
    List<HotKey> hotKeys = new ArrayList<>();
    List<TargetLoad> free = new ArrayList<>();
    for (TargetLoad target : targets) {
      List<HotKey> settled = hotKeysOf(target, target.ranges(), loads);
      hotKeys.addAll(settled);
      if (settled.isEmpty() && hotKeysOf(target, target.otherRanges(), loads).isEmpty()) {
        free.add(target);
      }
    }
    hotKeys.sort(Comparator.comparingDouble(HotKey::load).reversed());
    List<RangeMove> moves = new ArrayList<>();
    Set<TargetId> keeping = new HashSet<>();
    for (HotKey hot : hotKeys) {
      boolean shares = keeping.contains(hot.owner().id());
      Optional<TargetLoad> better = fastest(free, hot.owner(), shares, speeds);
      if (better.isPresent() && moves.size() < maxMoves) {
        free.remove(better.get());
        KeyRange keys = new KeyRange(hot.key(), hot.key());
        moves.add(new RangeMove(keys, hot.owner().id(), better.get().id()));
      } else {
        keeping.add(hot.owner().id());
      }
    }
    return moves;
  }

  /** A target with a hotter key has no room for another: then any free one is better. */
  private static Optional<TargetLoad> fastest(
      List<TargetLoad> free, TargetLoad owner, boolean shares, RelativeLatencies speeds) {
    double worthwhile = shares ? Double.MAX_VALUE : costOf(owner, speeds) / WORTHWHILE;
    return free.stream()
        .filter(target -> costOf(target, speeds) < worthwhile)
        .min(Comparator.comparingDouble(target -> costOf(target, speeds)));
  }

  private static double costOf(TargetLoad target, RelativeLatencies speeds) {
    return speeds.of(target.id()) / target.capacity();
  }

  private static List<HotKey> hotKeysOf(TargetLoad owner, List<KeyRange> ranges, KeyLoads loads) {
    List<HotKey> found = new ArrayList<>();
    double least = owner.capacity() * HOT_SHARE;
    for (KeyRange range : ranges) {
      for (int key = range.first(); key <= range.last(); key++) {
        if (loads.of(key) > least) {
          found.add(new HotKey(key, loads.of(key), owner));
        }
      }
    }
    return found;
  }

  /** A key that keeps most of its owner busy. */
  private record HotKey(int key, double load, TargetLoad owner) {}
}
