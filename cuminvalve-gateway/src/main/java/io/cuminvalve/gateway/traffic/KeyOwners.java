package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.lease.RangeRoute;
import java.util.List;
import java.util.Optional;

/**
 * Finds the owner of a key.
 *
 * @since 0.2
 */
public final class KeyOwners {

  private final List<RangeRoute> ranges;

  /**
   * Creates a look-up.
   *
   * @param ranges in the order of keys, without overlaps; not null
   */
  public KeyOwners(List<RangeRoute> ranges) {
    this.ranges = List.copyOf(ranges);
  }

  /**
   * Finds the range of a key.
   *
   * @param key the key
   * @return empty if nobody is to own it
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
   * Counts the keys whose owner has no lease.
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
