package io.cuminvalve.core.placement.internal;

import io.cuminvalve.core.table.ShardTable;
import java.util.Arrays;
import java.util.function.IntUnaryOperator;

/**
 * An immutable snapshot of the shards of each target.
 *
 * @since 0.1
 */
final class ShardsByTarget {

  private final int[] starts;
  private final int[] shards;

  /** Groups the shards by the target that a function returns for each. */
  ShardsByTarget(int targetCount, int shardCount, IntUnaryOperator targetOf) {
    starts = new int[targetCount + 1];
    for (int shard = 0; shard < shardCount; shard++) {
      int target = targetOf.applyAsInt(shard);
      if (target != ShardTable.NO_TARGET) {
        starts[target + 1]++;
      }
    }
    for (int target = 0; target < targetCount; target++) {
      starts[target + 1] += starts[target];
    }
    shards = new int[starts[targetCount]];
    int[] next = Arrays.copyOf(starts, targetCount);
    for (int shard = 0; shard < shardCount; shard++) {
      int target = targetOf.applyAsInt(shard);
      if (target != ShardTable.NO_TARGET) {
        shards[next[target]++] = shard;
      }
    }
  }

  /** Returns the shards of one target in ascending order, as a new array. */
  int[] of(int target) {
    return Arrays.copyOfRange(shards, starts[target], starts[target + 1]);
  }
}
