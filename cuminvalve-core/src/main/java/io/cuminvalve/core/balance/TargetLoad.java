package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.List;

/**
 * What a target owns and can do.
 *
 * @param id the target; not null
 * @param slots how many requests it works on at the same time
 * @param capacity how many busy slots all its requests may take: fewer than its slots if it names a
 *     limit
 * @param ranges what it owns and what may be moved; not null
 * @param otherRanges what it owns or is about to own, but cannot be moved now; not null
 * @since 0.2
 */
public record TargetLoad(
    TargetId id, int slots, double capacity, List<KeyRange> ranges, List<KeyRange> otherRanges) {

  /** Copies the lists. */
  public TargetLoad {
    ranges = List.copyOf(ranges);
    otherRanges = List.copyOf(otherRanges);
  }

  /**
   * Creates the load of a target that names no limit.
   *
   * @param id the target; not null
   * @param slots how many requests it works on at the same time
   * @param ranges what it owns and what may be moved; not null
   * @param otherRanges what it owns or is about to own, but cannot be moved now; not null
   */
  public TargetLoad(TargetId id, int slots, List<KeyRange> ranges, List<KeyRange> otherRanges) {
    this(id, slots, slots, ranges, otherRanges);
  }

  /**
   * Returns the load of all its ranges.
   *
   * @param loads the load of each key; not null
   * @return busy slots
   */
  public double busySlots(KeyLoads loads) {
    double busy = 0;
    for (KeyRange range : ranges) {
      busy += loads.of(range);
    }
    for (KeyRange range : otherRanges) {
      busy += loads.of(range);
    }
    return busy;
  }
}
