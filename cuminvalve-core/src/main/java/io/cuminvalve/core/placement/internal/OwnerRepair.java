package io.cuminvalve.core.placement.internal;

import io.cuminvalve.core.placement.MoveReason;
import io.cuminvalve.core.table.ShardTable;
import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * Gives an owner to each shard that has none, or whose owner is lost or leaving.
 *
 * @since 0.1
 */
public final class OwnerRepair {

  private final Assignment assignment;
  private final TargetOrder order;

  /**
   * Creates the step.
   *
   * @param assignment the assignment to change; not null
   */
  public OwnerRepair(Assignment assignment) {
    this.assignment = assignment;
    this.order = new TargetOrder(assignment);
  }

  /**
   * Changes the assignment. At least one target has to be usable.
   *
   * @param drainMoves how many shards may leave draining targets
   */
  public void run(int drainMoves) {
    takeOverFromLost();
    assignFirst();
    drain(drainMoves);
  }

  private void takeOverFromLost() {
    for (int shard = 0; shard < assignment.shardCount(); shard++) {
      if (assignment.isOwnerLost(shard)) {
        int standby = assignment.standby(shard);
        int target = assignment.isUsable(standby) ? standby : order.leastLoaded();
        order.setOwner(shard, target, MoveReason.TARGET_LOST);
      }
    }
  }

  private void assignFirst() {
    IntStream.range(0, assignment.shardCount())
        .filter(shard -> assignment.owner(shard) == ShardTable.NO_TARGET)
        .boxed()
        .sorted(Comparator.comparingDouble((Integer shard) -> -assignment.load(shard)))
        .forEach(this::assign);
  }

  private void assign(int shard) {
    int target = order.leastLoadedApartFrom(assignment.standby(shard));
    order.setOwner(shard, target, MoveReason.FIRST_ASSIGNMENT);
  }

  private void drain(int drainMoves) {
    int left = drainMoves;
    for (int shard = 0; shard < assignment.shardCount() && left > 0; shard++) {
      if (!assignment.isUsable(assignment.owner(shard)) && assignment.isSettled(shard)) {
        order.setOwner(shard, drainTarget(shard), MoveReason.TARGET_DRAINING);
        left--;
      }
    }
  }

  /**
   * The standby if that leaves it at or below its share, else the least loaded target: in a rolling
   * restart this refills the target that has just come back.
   */
  private int drainTarget(int shard) {
    int standby = assignment.standby(shard);
    if (assignment.isUsable(standby)) {
      double fair = assignment.fairLoad(assignment.index().weight(standby));
      if (assignment.ownerLoad(standby) + assignment.load(shard) <= fair) {
        return standby;
      }
    }
    return order.leastLoadedApartFrom(standby);
  }
}
