package io.cuminvalve.core.placement.internal;

import io.cuminvalve.core.placement.MoveReason;
import io.cuminvalve.core.table.ShardTable;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;

/**
 * Relieves overloaded targets with as few moves as it can.
 *
 * <p>The hottest shard of a target stays and its neighbours leave.
 *
 * @since 0.1
 */
public final class OwnerBalancer {

  /**
   * How many shards of fitting load are looked at for one with a standby in another data centre.
   */
  private static final int SPREAD_CANDIDATES = 16;

  /** A move has to lower the higher of two ratios by at least this much. */
  private static final double LEAST_GAIN = 0.005;

  private final Assignment assignment;
  private final double trigger;
  private final double goal;
  private final IntPredicate isHot;
  private int movesLeft;

  /**
   * Creates the step.
   *
   * @param assignment the assignment to change; not null
   * @param trigger the ratio above which a target is relieved
   * @param goal the ratio at which that ends
   * @param isHot whether a shard should stay; not null
   * @param maxMoves how many shards may move
   */
  public OwnerBalancer(
      Assignment assignment, double trigger, double goal, IntPredicate isHot, int maxMoves) {
    this.assignment = assignment;
    this.trigger = trigger;
    this.goal = goal;
    this.isHot = isHot;
    this.movesLeft = maxMoves;
  }

  /** Changes the assignment. */
  public void run() {
    if (movesLeft <= 0 || assignment.imbalance() <= trigger) {
      return;
    }
    TargetOrder order = new TargetOrder(assignment);
    ShardsByTarget shards =
        new ShardsByTarget(assignment.index().size(), assignment.shardCount(), assignment::owner);
    while (movesLeft > 0 && !order.isEmpty()) {
      int source = order.mostLoaded();
      if (assignment.ownerRatio(source) <= trigger) {
        return;
      }
      relieve(source, shards.of(source), order);
      order.setAside(source);
    }
  }

  private void relieve(int source, int[] owned, TargetOrder order) {
    List<Integer> movable =
        Arrays.stream(owned)
            .filter(shard -> assignment.owner(shard) == source && assignment.isSettled(shard))
            .boxed()
            .sorted(Comparator.comparingDouble(assignment::load))
            .collect(Collectors.toList());
    Optional<Integer> pinned = pinnedShard(movable);
    if (pinned.isPresent()) {
      movable.remove(pinned.get());
      partHotShards(source, assignment.load(pinned.get()), movable, order);
    }
    moveWhileAbove(source, movable, order);
  }

  /** Moves shards that do not fit beside the hottest one, even if their neighbours all left. */
  private void partHotShards(
      int source, double pinnedLoad, List<Integer> candidates, TargetOrder order) {
    while (movesLeft > 0 && !candidates.isEmpty()) {
      int last = candidates.size() - 1;
      int shard = candidates.get(last);
      boolean fits = pinnedLoad + assignment.load(shard) <= goal * fairLoad(source);
      if (fits || !isHot.test(shard) || !helps(source, order.leastLoaded(), shard)) {
        return;
      }
      move(candidates, last, order);
    }
  }

  /** The hottest shard, unless it is an ordinary one. */
  private Optional<Integer> pinnedShard(List<Integer> ascending) {
    if (ascending.isEmpty()) {
      return Optional.empty();
    }
    Integer hottest = ascending.get(ascending.size() - 1);
    return isHot.test(hottest) ? Optional.of(hottest) : Optional.empty();
  }

  /** Moves shards out of a list in ascending order of load until the source is at the goal. */
  private void moveWhileAbove(int source, List<Integer> candidates, TargetOrder order) {
    while (movesLeft > 0 && assignment.ownerRatio(source) > goal) {
      int target = order.leastLoaded();
      int position = choose(source, target, candidates);
      if (position < 0) {
        return;
      }
      move(candidates, position, order);
    }
  }

  private void move(List<Integer> candidates, int position, TargetOrder order) {
    int shard = candidates.remove(position);
    MoveReason reason =
        isHot.test(shard) ? MoveReason.HOT_SHARDS_TOGETHER : MoveReason.OWNER_OVERLOADED;
    order.setOwner(shard, order.leastLoaded(), reason);
    movesLeft--;
  }

  /** The position of the shard to move, or -1 if no move would help. */
  private int choose(int source, int target, List<Integer> candidates) {
    if (candidates.isEmpty() || source == target) {
      return -1;
    }
    double excess = assignment.ownerLoad(source) - goal * fairLoad(source);
    double room = goal * fairLoad(target) - assignment.ownerLoad(target);
    int fitting = lastAtMost(candidates, room);
    if (fitting < 0) {
      return helps(source, target, candidates.get(0)) ? 0 : -1;
    }
    // One shard that covers the excess is one move; without one, the largest that fits.
    int covering = lastAtMost(candidates, Math.nextDown(excess)) + 1;
    int wanted = Math.min(covering, fitting);
    return helps(source, target, candidates.get(wanted)) ? spread(target, candidates, wanted) : -1;
  }

  private boolean helps(int source, int target, int shard) {
    double after = (assignment.ownerLoad(target) + assignment.load(shard)) / fairLoad(target);
    return after < assignment.ownerRatio(source) - LEAST_GAIN;
  }

  /** A position near the wanted one, if possible of a shard whose standby is elsewhere. */
  private int spread(int target, List<Integer> candidates, int wanted) {
    int last = Math.max(0, wanted - SPREAD_CANDIDATES);
    for (int position = wanted; position >= last; position--) {
      int standby = assignment.standby(candidates.get(position));
      boolean isApart =
          standby == ShardTable.NO_TARGET || !assignment.index().sameDataCentre(standby, target);
      if (isApart && isSimilar(candidates, position, wanted)) {
        return position;
      }
    }
    return wanted;
  }

  private boolean isSimilar(List<Integer> candidates, int position, int wanted) {
    double wantedLoad = assignment.load(candidates.get(wanted));
    return assignment.load(candidates.get(position)) >= 0.8 * wantedLoad;
  }

  private double fairLoad(int target) {
    return assignment.fairLoad(assignment.index().weight(target));
  }

  /** The last position whose load is at most a limit, or -1. */
  private int lastAtMost(List<Integer> candidates, double limit) {
    int low = 0;
    int high = candidates.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (assignment.load(candidates.get(middle)) <= limit) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low - 1;
  }
}
