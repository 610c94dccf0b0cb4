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
 * Relieves overloaded targets with as few moves as possible.
 *
 * <p>The hottest shard of a target stays, and other shards of the target are moved away.
 *
 * @since 0.1
 */
public final class OwnerBalancer {

  /**
   * How many shards of suitable load are examined for one with a standby in another data centre.
   */
  private static final int SPREAD_CANDIDATES = 16;

  /** A move has to lower the higher of two ratios by at least this much. */
  private static final double MIN_GAIN = 0.005;

  private final Assignment assignment;
  private final double trigger;
  private final double goal;
  private final IntPredicate isHot;
  private int movesLeft;

  /**
   * Creates the step.
   *
   * @param assignment the assignment to change; not null
   * @param trigger the owner ratio above which a target is relieved
   * @param goal the owner ratio at which the relief ends
   * @param isHot returns whether a shard is hot; not null
   * @param maxMoves the maximum number of moves
   */
  public OwnerBalancer(
      Assignment assignment, double trigger, double goal, IntPredicate isHot, int maxMoves) {
    this.assignment = assignment;
    this.trigger = trigger;
    this.goal = goal;
    this.isHot = isHot;
    this.movesLeft = maxMoves;
  }

  /** Applies the step to the assignment. */
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
      order.exclude(source);
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
      separateHotShards(source, assignment.load(pinned.get()), movable, order);
    }
    moveWhileAbove(source, movable, order);
  }

  /** Moves hot shards that would exceed the goal together with the hottest one alone. */
  private void separateHotShards(
      int source, double pinnedLoad, List<Integer> candidates, TargetOrder order) {
    while (movesLeft > 0 && !candidates.isEmpty()) {
      int last = candidates.size() - 1;
      int shard = candidates.get(last);
      boolean fits = pinnedLoad + assignment.load(shard) <= goal * fairLoad(source);
      if (fits || !isHot.test(shard) || !reducesImbalance(source, order.leastLoaded(), shard)) {
        return;
      }
      move(candidates, last, order);
    }
  }

  /** Returns the hottest shard if it counts as hot. */
  private Optional<Integer> pinnedShard(List<Integer> ascending) {
    if (ascending.isEmpty()) {
      return Optional.empty();
    }
    Integer hottest = ascending.get(ascending.size() - 1);
    return isHot.test(hottest) ? Optional.of(hottest) : Optional.empty();
  }

  /** Moves shards from a list in ascending order of load until the source reaches the goal. */
  private void moveWhileAbove(int source, List<Integer> candidates, TargetOrder order) {
    while (movesLeft > 0 && assignment.ownerRatio(source) > goal) {
      int target = order.leastLoaded();
      int position = choosePosition(source, target, candidates);
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

  /** Returns the position of the shard to move, or -1 if no move reduces the imbalance. */
  private int choosePosition(int source, int target, List<Integer> candidates) {
    if (candidates.isEmpty() || source == target) {
      return -1;
    }
    double excess = assignment.ownerLoad(source) - goal * fairLoad(source);
    double spare = goal * fairLoad(target) - assignment.ownerLoad(target);
    int fitting = lastAtMost(candidates, spare);
    if (fitting < 0) {
      return reducesImbalance(source, target, candidates.get(0)) ? 0 : -1;
    }
    // Prefers the smallest shard that covers the excess in one move, else the largest that fits.
    int covering = lastAtMost(candidates, Math.nextDown(excess)) + 1;
    int preferred = Math.min(covering, fitting);
    return reducesImbalance(source, target, candidates.get(preferred))
        ? preferSpread(target, candidates, preferred)
        : -1;
  }

  private boolean reducesImbalance(int source, int target, int shard) {
    double after = (assignment.ownerLoad(target) + assignment.load(shard)) / fairLoad(target);
    return after < assignment.ownerRatio(source) - MIN_GAIN;
  }

  /**
   * Returns a position near the preferred one, if possible with a standby in another data centre.
   */
  private int preferSpread(int target, List<Integer> candidates, int preferred) {
    int last = Math.max(0, preferred - SPREAD_CANDIDATES);
    for (int position = preferred; position >= last; position--) {
      int standby = assignment.standby(candidates.get(position));
      boolean isElsewhere =
          standby == ShardTable.NO_TARGET || !assignment.index().sameDataCentre(standby, target);
      if (isElsewhere && isSimilar(candidates, position, preferred)) {
        return position;
      }
    }
    return preferred;
  }

  private boolean isSimilar(List<Integer> candidates, int position, int preferred) {
    double preferredLoad = assignment.load(candidates.get(preferred));
    return assignment.load(candidates.get(position)) >= 0.8 * preferredLoad;
  }

  private double fairLoad(int target) {
    return assignment.fairLoad(assignment.index().weight(target));
  }

  /** Returns the last position whose load is at most the limit, or -1. */
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
