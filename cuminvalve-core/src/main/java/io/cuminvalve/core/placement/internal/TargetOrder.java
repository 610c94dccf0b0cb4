package io.cuminvalve.core.placement.internal;

import io.cuminvalve.core.placement.MoveReason;
import io.cuminvalve.core.table.ShardTable;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * The usable targets in the order of their owner ratio.
 *
 * <p>All changes of owners go through this class while it is in use.
 *
 * @since 0.1
 */
final class TargetOrder {

  /** How many of the least loaded targets are looked at for one in another data centre. */
  private static final int SPREAD_CANDIDATES = 4;

  private final Assignment assignment;
  private final TreeSet<Integer> targets;

  TargetOrder(Assignment assignment) {
    this.assignment = assignment;
    Comparator<Integer> byRatio = Comparator.comparingDouble(assignment::ownerRatio);
    targets = new TreeSet<>(byRatio.thenComparing(Comparator.naturalOrder()));
    for (int target : assignment.index().usable()) {
      targets.add(target);
    }
  }

  boolean isEmpty() {
    return targets.isEmpty();
  }

  int leastLoaded() {
    return targets.first();
  }

  int mostLoaded() {
    return targets.last();
  }

  /** One of the least loaded targets, if possible outside the data centre of the standby. */
  int leastLoadedApartFrom(int standby) {
    if (!assignment.isUsable(standby)) {
      return leastLoaded();
    }
    int looked = 0;
    for (int target : targets) {
      if (!assignment.index().sameDataCentre(target, standby)) {
        return target;
      }
      if (++looked == SPREAD_CANDIDATES) {
        break;
      }
    }
    return leastLoaded();
  }

  /** Leaves a target out from now on. */
  void setAside(int target) {
    targets.remove(target);
  }

  void setOwner(int shard, int target, MoveReason reason) {
    int earlier = assignment.owner(shard);
    boolean earlierListed = earlier != ShardTable.NO_TARGET && targets.remove(earlier);
    boolean targetListed = targets.remove(target);
    assignment.setOwner(shard, target, reason);
    if (earlierListed) {
      targets.add(earlier);
    }
    if (targetListed) {
      targets.add(target);
    }
  }
}
