package io.cuminvalve.core.placement;

import io.cuminvalve.core.inventory.PlacementObjective;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.List;

/**
 * Everything that a plan depends on.
 *
 * @param table the current assignment; every owner NO_TARGET before the first; not null
 * @param targets all known targets; one that the table names and this list does not is treated as
 *     DRAINING; not null, copied
 * @param shardLoads measured load per shard, in any unit common to all; empty if nothing was
 *     measured, so that shards count alike; not null, not copied
 * @param hotShards shards that hold a hot key and should stay where they are; not null, not copied
 * @param objective what to weigh most; not null
 * @param budget how many avoidable moves the plan may contain; not null
 * @param quietMs milliseconds since the set of usable targets last changed
 * @since 0.1
 */
public record PlacementInput(
    ShardTable table,
    List<PlacementTarget> targets,
    double[] shardLoads,
    int[] hotShards,
    PlacementObjective objective,
    MoveBudget budget,
    long quietMs) {

  /**
   * Copies the targets and checks the loads.
   *
   * @throws CodedException with code INVALID_INPUT if the number of loads fits no shard count
   */
  public PlacementInput {
    targets = List.copyOf(targets);
    if (shardLoads.length != 0 && shardLoads.length != table.shardCount()) {
      throw new CodedException(
          ErrorCode.INVALID_INPUT, "shardLoads has the wrong length: " + shardLoads.length);
    }
  }
}
