package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;
import java.util.List;
import java.util.OptionalLong;

/**
 * Who is to own a range, as written to the store before anything is granted.
 *
 * @param firstKey the lowest key
 * @param lastKey the highest key, which belongs to the range
 * @param owner the target that is to own it; not null
 * @param previousOwners targets that may still hold it; not null, empty once they are proved not to
 * @param bounds for how long they may; a target without a bound may for as long as any lease of an
 *     earlier holder runs; not null
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
   * Returns for how long a previous owner may still hold the keys.
   *
   * @param target the previous owner; not null
   * @return counted from when this was written; empty if it is not known; milliseconds
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
