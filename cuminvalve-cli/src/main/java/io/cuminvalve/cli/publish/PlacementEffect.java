package io.cuminvalve.cli.publish;

import io.cuminvalve.core.id.CellId;

/**
 * What an inventory would do to the assignment of one cell, if load is spread evenly over shards.
 *
 * @param cell the cell; not null
 * @param shardsToMove how many shards would get another owner in the end
 * @param shardCount how many shards there are
 * @param imbalanceBefore highest load per slot over the mean now; 0 if nothing is assigned
 * @param imbalanceAfter the same in the end
 * @since 0.1
 */
public record PlacementEffect(
    CellId cell, int shardsToMove, int shardCount, double imbalanceBefore, double imbalanceAfter) {}
