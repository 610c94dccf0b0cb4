package io.cuminvalve.core.placement.internal;

import io.cuminvalve.core.placement.MoveReason;
import io.cuminvalve.core.table.ShardTable;
import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * Assigns an owner to each shard that has none, or whose owner is lost or draining.
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
   * Applies the step to the assignment. At least one target must be usable.
   *
   * @param drainMoves the maximum number of shards to move away from draining targets
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
    int target = order.leastLoadedOutsideDataCentreOf(assignment.standby(shard));
    order.setOwner(shard, target, MoveReason.FIRST_ASSIGNMENT);
  }

  private void drain(int drainMoves) {
    int remaining = drainMoves;
    for (int shard = 0; shard < assignment.shardCount() && remaining > 0; shard++) {
      if (!assignment.isUsable(assignment.owner(shard)) && assignment.isSettled(shard)) {
        order.setOwner(shard, drainTarget(shard), MoveReason.TARGET_DRAINING);
        remaining--;
      }
    }
  }

  /**
   * Returns the standby if its load then stays within its share, else the least loaded target. In a
   * rolling restart, this refills the target that has just returned.
   */
  private int drainTarget(int shard) {
    int standby = assignment.standby(shard);
    if (assignment.isUsable(standby)) {
      double fair = assignment.fairLoad(assignment.index().weight(standby));
      if (assignment.ownerLoad(standby) + assignment.load(shard) <= fair) {
        return standby;
      }
    }
    return order.leastLoadedOutsideDataCentreOf(standby);
  }
}
