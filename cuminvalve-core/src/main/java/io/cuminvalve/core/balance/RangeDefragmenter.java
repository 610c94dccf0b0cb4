package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Gives narrow ranges that cause little work back to the owner of their neighbours.
 *
 * <p>Hot keys cut the key space into pieces. Each piece is a lease to renew, and the next holder of
 * the term has to grant them all before it can serve; once the keys are no longer hot, the pieces
 * are joined again.
 *
 * @since 0.2
 */
public final class RangeDefragmenter {

  /** Wider ranges are no fragments. */
  private static final int MAX_KEYS = 1_024;

  /** Nor are those that are wider than this part of an even share of all keys. */
  private static final double FRAGMENT_SHARE = 0.25;

  /** A range that keeps more of a slot busy stays where the balancer put it. */
  private static final double MAX_LOAD = 0.25;

  /** A target that is busier than this takes nothing more. */
  private static final double MAX_SHARE = 0.5;

  /**
   * Finds moves, at most one for each target.
   *
   * @param targets the targets with the ranges that may be moved; not null
   * @param loads the load of each key; not null
   * @param maxMoves at most so many
   * @return never null
   */
  public List<RangeMove> plan(List<TargetLoad> targets, KeyLoads loads, int maxMoves) {
    Map<TargetId, TargetLoad> byId = new HashMap<>();
    List<OwnedRange> owned = new ArrayList<>();
    for (TargetLoad target : targets) {
      byId.put(target.id(), target);
      target.ranges().forEach(range -> owned.add(new OwnedRange(range, target.id())));
    }
    owned.sort(Comparator.comparingInt(one -> one.range().first()));
    double evenShare = (double) KeyRange.KEY_COUNT / targets.size();
    double mostKeys = Math.min(MAX_KEYS, FRAGMENT_SHARE * evenShare);
    List<RangeMove> moves = new ArrayList<>();
    Set<TargetId> used = new HashSet<>();
    for (int i = 0; i < owned.size() && moves.size() < maxMoves; i++) {
      OwnedRange fragment = owned.get(i);
      boolean isOnly = byId.get(fragment.owner()).ranges().size() == 1;
      if (isOnly || !isFragment(fragment.range(), mostKeys, loads)) {
        continue;
      }
      for (OwnedRange neighbour : neighbours(owned, i)) {
        boolean fits =
            takesMore(byId.get(neighbour.owner()), loads)
                && !used.contains(neighbour.owner())
                && !used.contains(fragment.owner());
        if (fits) {
          moves.add(new RangeMove(fragment.range(), fragment.owner(), neighbour.owner()));
          used.add(fragment.owner());
          used.add(neighbour.owner());
          break;
        }
      }
    }
    return moves;
  }

  private static boolean isFragment(KeyRange range, double mostKeys, KeyLoads loads) {
    return range.size() <= mostKeys && loads.of(range) <= MAX_LOAD;
  }

  private static boolean takesMore(TargetLoad target, KeyLoads loads) {
    return target.busySlots(loads) / target.capacity() < MAX_SHARE;
  }

  private static List<OwnedRange> neighbours(List<OwnedRange> owned, int index) {
    List<OwnedRange> result = new ArrayList<>();
    OwnedRange one = owned.get(index);
    if (index > 0 && owned.get(index - 1).range().last() + 1 == one.range().first()) {
      result.add(owned.get(index - 1));
    }
    if (index + 1 < owned.size()
        && one.range().last() + 1 == owned.get(index + 1).range().first()) {
      result.add(owned.get(index + 1));
    }
    result.removeIf(neighbour -> neighbour.owner().equals(one.owner()));
    return result;
  }

  /** A range and its owner. */
  private record OwnedRange(KeyRange range, TargetId owner) {}
}
