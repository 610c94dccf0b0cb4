package io.cuminvalve.core.inventory;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;

/**
 * One service whose instances own its keys exclusively.
 *
 * @param id its identifier; not null
 * @param shardCount the number of shards that its keys are hashed to; a power of two
 * @param capability the checks that its targets apply to grants; not null
 * @param objective the main objective of its placement; not null
 * @since 0.1
 */
public record Service(
    ServiceId id, int shardCount, GrantCapability capability, PlacementObjective objective) {

  /** The maximum number of shards of a service. */
  public static final int MAX_SHARD_COUNT = 1 << 20;

  /**
   * Checks the shard count.
   *
   * @throws CodedException with code INVALID_INPUT if it is not a power of two up to the maximum
   */
  public Service {
    if (Integer.bitCount(shardCount) != 1 || shardCount < 1 || shardCount > MAX_SHARD_COUNT) {
      throw new CodedException(
          ErrorCode.INVALID_INPUT, "shardCount of " + id + " is not a power of two: " + shardCount);
    }
  }
}
