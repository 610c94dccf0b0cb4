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
 * Moves narrow ranges with little load back to the owner of a neighbouring range.
 *
 * <p>Hot keys fragment the key space. Each fragment is a lease to renew, and a new term holder has
 * to grant all of them before it can serve. Once the keys are no longer hot, the fragments are
 * merged again.
 *
 * @since 0.2
 */
public final class RangeDefragmenter {

  /** Maximum number of keys of a fragment. */
  private static final int MAX_FRAGMENT_KEYS = 1_024;

  /** Maximum width of a fragment, as a fraction of an even share of all keys. */
  private static final double FRAGMENT_SHARE = 0.25;

  /** Maximum busy slots of a fragment; a range with more load stays where the balancer put it. */
  private static final double MAX_FRAGMENT_LOAD = 0.25;

  /** Share of busy slots from which a target receives no fragments. */
  private static final double MAX_RECEIVER_UTILISATION = 0.5;

  /**
   * Plans moves, at most one for each target.
   *
   * @param targets the targets with their movable ranges; not null
   * @param loads the load of each key; not null
   * @param maxMoves the maximum number of moves
   * @return the moves; never null
   */
  public List<RangeMove> plan(List<TargetLoad> targets, KeyLoads loads, int maxMoves) {
    Map<TargetId, TargetLoad> byId = new HashMap<>();
    List<OwnedRange> owned = new ArrayList<>();
    for (TargetLoad target : targets) {
      byId.put(target.id(), target);
      target.ranges().forEach(range -> owned.add(new OwnedRange(range, target.id())));
    }
    owned.sort(Comparator.comparingInt(entry -> entry.range().first()));
    double evenShare = (double) KeyRange.KEY_COUNT / targets.size();
    double maxKeys = Math.min(MAX_FRAGMENT_KEYS, FRAGMENT_SHARE * evenShare);
    List<RangeMove> moves = new ArrayList<>();
    Set<TargetId> involved = new HashSet<>();
    for (int i = 0; i < owned.size() && moves.size() < maxMoves; i++) {
      OwnedRange fragment = owned.get(i);
      boolean isOnlyRange = byId.get(fragment.owner()).ranges().size() == 1;
      if (isOnlyRange || !isFragment(fragment.range(), maxKeys, loads)) {
        continue;
      }
      for (OwnedRange neighbour : neighbours(owned, i)) {
        boolean fits =
            hasSpareCapacity(byId.get(neighbour.owner()), loads)
                && !involved.contains(neighbour.owner())
                && !involved.contains(fragment.owner());
        if (fits) {
          moves.add(new RangeMove(fragment.range(), fragment.owner(), neighbour.owner()));
          involved.add(fragment.owner());
          involved.add(neighbour.owner());
          break;
        }
      }
    }
    return moves;
  }

  private static boolean isFragment(KeyRange range, double maxKeys, KeyLoads loads) {
    return range.size() <= maxKeys && loads.of(range) <= MAX_FRAGMENT_LOAD;
  }

  private static boolean hasSpareCapacity(TargetLoad target, KeyLoads loads) {
    return target.busySlots(loads) / target.capacity() < MAX_RECEIVER_UTILISATION;
  }

  private static List<OwnedRange> neighbours(List<OwnedRange> owned, int index) {
    List<OwnedRange> result = new ArrayList<>();
    OwnedRange entry = owned.get(index);
    if (index > 0 && owned.get(index - 1).range().last() + 1 == entry.range().first()) {
      result.add(owned.get(index - 1));
    }
    if (index + 1 < owned.size()
        && entry.range().last() + 1 == owned.get(index + 1).range().first()) {
      result.add(owned.get(index + 1));
    }
    result.removeIf(neighbour -> neighbour.owner().equals(entry.owner()));
    return result;
  }

  /** A range and its owner. */
  private record OwnedRange(KeyRange range, TargetId owner) {}
}
