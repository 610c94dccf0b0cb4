package io.cuminvalve.core.placement;

import io.cuminvalve.core.inventory.PlacementObjective;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.List;

/**
 * The complete input of a plan.
 *
 * @param table the current assignment; before the first plan every owner is NO_TARGET; not null
 * @param targets all known targets; a target that is in the table but not in this list is treated
 *     as DRAINING; not null, copied
 * @param shardLoads measured load per shard, in any common unit; empty if nothing was measured, in
 *     which case all shards count equally; not null, not copied
 * @param hotShards shards that hold a hot key and should stay where they are; not null, not copied
 * @param objective the main objective; not null
 * @param budget the limit of avoidable moves; not null
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
   * @throws CodedException with code INVALID_INPUT if the number of loads differs from the number
   *     of shards
   */
  public PlacementInput {
    targets = List.copyOf(targets);
    if (shardLoads.length != 0 && shardLoads.length != table.shardCount()) {
      throw new CodedException(
          ErrorCode.INVALID_INPUT,
          "shardLoads differs in length from the shard table: " + shardLoads.length);
    }
  }
}
