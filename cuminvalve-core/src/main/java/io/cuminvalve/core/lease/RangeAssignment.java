package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;
import java.util.List;
import java.util.OptionalLong;

/**
 * The assignment of a range to its owner, as written to the store before the lease is granted.
 *
 * @param firstKey the lowest key
 * @param lastKey the highest key, inclusive
 * @param owner the target that the range is assigned to; not null
 * @param previousOwners the targets that may still hold the range; empty once all are known to hold
 *     it no longer; not null
 * @param bounds how long the previous owners may hold it; a target without a bound may hold it for
 *     the longest lease that an earlier term holder could have granted; not null
 * @since 0.2
 */
public record RangeAssignment(
    int firstKey,
    int lastKey,
    TargetId owner,
    List<TargetId> previousOwners,
    List<LeaseBound> bounds) {

  /** Copies the lists. */
  public RangeAssignment {
    previousOwners = List.copyOf(previousOwners);
    bounds = List.copyOf(bounds);
  }

  /**
   * Returns how long a previous owner may still hold the range.
   *
   * @param target the previous owner; not null
   * @return milliseconds since this assignment was written; empty if not known
   */
  public OptionalLong leftMs(TargetId target) {
    return bounds.stream()
        .filter(bound -> bound.target().equals(target))
        .mapToLong(LeaseBound::leftMs)
        .findFirst();
  }

  /**
   * Returns the keys.
   *
   * @return never null
   */
  public KeyRange range() {
    return new KeyRange(firstKey, lastKey);
  }
}
