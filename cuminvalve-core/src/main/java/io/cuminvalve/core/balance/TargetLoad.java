package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.List;

/**
 * The key ranges and the capacity of a target.
 *
 * @param id the target; not null
 * @param slots how many requests it processes concurrently
 * @param capacity how many busy slots its requests may use in total; fewer than its slots if it
 *     announces a limit
 * @param ranges ranges that it owns and that may be moved; not null
 * @param otherRanges ranges that it owns or is about to own and that cannot be moved now; not null
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
   * Creates the load of a target that announces no limit.
   *
   * @param id the target; not null
   * @param slots how many requests it processes concurrently
   * @param ranges ranges that it owns and that may be moved; not null
   * @param otherRanges ranges that it owns or is about to own and that cannot be moved now; not
   *     null
   */
  public TargetLoad(TargetId id, int slots, List<KeyRange> ranges, List<KeyRange> otherRanges) {
    this(id, slots, slots, ranges, otherRanges);
  }

  /**
   * Returns the load of all ranges of the target.
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
