package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;
import java.util.List;

/**
 * Who is to own a range, as written to the store before anything is granted.
 *
 * @param firstKey the lowest key
 * @param lastKey the highest key, which belongs to the range
 * @param owner the target that is to own it; not null
 * @param previousOwners targets that may still hold it; not null, empty once they are proved not to
 * @since 0.2
 */
public record RangeAssignment(
    int firstKey, int lastKey, TargetId owner, List<TargetId> previousOwners) {

  /** Copies the list. */
  public RangeAssignment {
    previousOwners = List.copyOf(previousOwners);
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
