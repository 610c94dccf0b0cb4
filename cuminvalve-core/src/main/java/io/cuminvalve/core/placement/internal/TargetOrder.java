package io.cuminvalve.core.placement.internal;

import io.cuminvalve.core.placement.MoveReason;
import io.cuminvalve.core.table.ShardTable;
import java.util.Comparator;
import java.util.TreeSet;

/**
 * The usable targets, ordered by their owner ratio.
 *
 * <p>While it is in use, all changes of owners must go through this class.
 *
 * @since 0.1
 */
final class TargetOrder {

  /** How many of the least loaded targets are examined for one in another data centre. */
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

  /**
   * Returns one of the least loaded targets, if possible outside the data centre of the standby.
   */
  int leastLoadedOutsideDataCentreOf(int standby) {
    if (!assignment.isUsable(standby)) {
      return leastLoaded();
    }
    int examined = 0;
    for (int target : targets) {
      if (!assignment.index().sameDataCentre(target, standby)) {
        return target;
      }
      if (++examined == SPREAD_CANDIDATES) {
        break;
      }
    }
    return leastLoaded();
  }

  /** Removes a target from the order. */
  void exclude(int target) {
    targets.remove(target);
  }

  void setOwner(int shard, int target, MoveReason reason) {
    int previous = assignment.owner(shard);
    boolean previousListed = previous != ShardTable.NO_TARGET && targets.remove(previous);
    boolean targetListed = targets.remove(target);
    assignment.setOwner(shard, target, reason);
    if (previousListed) {
      targets.add(previous);
    }
    if (targetListed) {
      targets.add(target);
    }
  }
}
