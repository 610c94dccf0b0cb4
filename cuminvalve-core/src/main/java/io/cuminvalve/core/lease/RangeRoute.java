package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;

/**
 * Where requests for a range go now.
 *
 * @param firstKey the lowest key
 * @param lastKey the highest key, which belongs to the range
 * @param owner the target that owns it or is about to; not null
 * @param open whether the owner has its lease; requests wait or are refused while it is false
 * @param refusedPercent which part of the requests every gateway refuses, since the owner cannot
 *     bear them all; 0 to 100
 * @since 0.2
 */
public record RangeRoute(
    int firstKey, int lastKey, TargetId owner, boolean open, int refusedPercent) {

  /**
   * Creates a route of an owner that bears its load.
   *
   * @param firstKey the lowest key
   * @param lastKey the highest key
   * @param owner the target that owns it or is about to; not null
   * @param open whether the owner has its lease
   */
  public RangeRoute(int firstKey, int lastKey, TargetId owner, boolean open) {
    this(firstKey, lastKey, owner, open, 0);
  }
}
