package io.cuminvalve.core.placement;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;

/**
 * A target with the properties relevant to placement.
 *
 * @param id its identifier; not null
 * @param dataCentre the data centre it runs in; not null
 * @param slots how many requests it processes concurrently; at least 1
 * @param state its state, which determines whether it may receive shards; not null
 * @param warmShare the share of its slots that counts, above 0 and at most 1; below 1 only while it
 *     is COLD, see {@link PlacementSettings#warmShare(long)}
 * @since 0.1
 */
public record PlacementTarget(
    TargetId id, DataCentreId dataCentre, int slots, TargetState state, double warmShare) {

  /**
   * Validates the slots and the warm share.
   *
   * @throws CodedException with code INVALID_INPUT if one is out of range
   */
  public PlacementTarget {
    if (slots < 1 || !(warmShare > 0) || warmShare > 1) {
      throw new CodedException(
          ErrorCode.INVALID_INPUT, "slots or warmShare of " + id + " is out of range");
    }
  }

  /**
   * Returns the relative load that the target should have.
   *
   * @return slots times warm share; 0 if the target may not receive shards
   */
  public double weight() {
    return state.isUsable() ? slots * warmShare : 0;
  }
}
