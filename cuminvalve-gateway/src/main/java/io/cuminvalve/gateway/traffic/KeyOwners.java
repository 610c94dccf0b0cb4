package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.lease.RangeRoute;
import java.util.List;
import java.util.Optional;

/**
 * Maps the keys of a service to the ranges of their owners.
 *
 * @since 0.2
 */
public final class KeyOwners {

  private final List<RangeRoute> ranges;

  /**
   * Creates a lookup table.
   *
   * @param ranges the ranges, sorted by key and without overlaps; not null
   */
  public KeyOwners(List<RangeRoute> ranges) {
    this.ranges = List.copyOf(ranges);
  }

  /**
   * Finds the range that contains a key.
   *
   * @param key the key
   * @return empty if no owner is assigned to it
   */
  public Optional<RangeRoute> find(int key) {
    int low = 0;
    int high = ranges.size() - 1;
    while (low <= high) {
      int middle = (low + high) >>> 1;
      RangeRoute range = ranges.get(middle);
      if (key < range.firstKey()) {
        high = middle - 1;
      } else if (key > range.lastKey()) {
        low = middle + 1;
      } else {
        return Optional.of(range);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the number of keys whose owner has no lease.
   *
   * @return at least 0
   */
  public int keysWithoutLease() {
    return ranges.stream()
        .filter(range -> !range.open())
        .mapToInt(range -> range.lastKey() - range.firstKey() + 1)
        .sum();
  }
}
