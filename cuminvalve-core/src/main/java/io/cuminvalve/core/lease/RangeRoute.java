package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;

/**
 * The current route of requests for a range of keys.
 *
 * @param firstKey the lowest key
 * @param lastKey the highest key, inclusive
 * @param owner the current or next owner; not null
 * @param open whether the owner holds the lease; if false, requests wait or are refused
 * @param refusedPercent the percentage of requests that every gateway refuses because the owner is
 *     overloaded; 0 to 100
 * @since 0.2
 */
public record RangeRoute(
    int firstKey, int lastKey, TargetId owner, boolean open, int refusedPercent) {

  /**
   * Creates a route without refusals because of load.
   *
   * @param firstKey the lowest key
   * @param lastKey the highest key, inclusive
   * @param owner the current or next owner; not null
   * @param open whether the owner holds the lease
   */
  public RangeRoute(int firstKey, int lastKey, TargetId owner, boolean open) {
    this(firstKey, lastKey, owner, open, 0);
  }
}
