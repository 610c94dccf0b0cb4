package io.cuminvalve.core.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * A run of neighbouring keys.
 *
 * @param first the lowest key
 * @param last the highest key, which belongs to the range; at least {@code first}
 * @since 0.2
 */
public record KeyRange(int first, int last) {

  /** The highest key. */
  public static final int MAX_KEY = 65_535;

  /** How many keys there are. */
  public static final int KEY_COUNT = MAX_KEY + 1;

  /** Every key. */
  public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException if the range is empty or exceeds the key space
   */
  public KeyRange {
    if (first < 0 || last > MAX_KEY || first > last) {
      throw new IllegalArgumentException("no key range: " + first + " to " + last);
    }
  }

  /**
   * Returns how many keys it has.
   *
   * @return at least 1
   */
  public int size() {
    return last - first + 1;
  }

  /**
   * Tells whether it has a key.
   *
   * @param key the key
   * @return true if it lies within the bounds
   */
  public boolean contains(int key) {
    return first <= key && key <= last;
  }

  /**
   * Tells whether it has every key of another range.
   *
   * @param other the other range; not null
   * @return true if the other lies within the bounds
   */
  public boolean contains(KeyRange other) {
    return first <= other.first && other.last <= last;
  }

  /**
   * Returns what is left of it without the keys of another range.
   *
   * @param other the other range; not null
   * @return no range, one or two, in order; never null
   */
  public List<KeyRange> without(KeyRange other) {
    if (other.last < first || last < other.first) {
      return List.of(this);
    }
    List<KeyRange> left = new ArrayList<>();
    if (first < other.first) {
      left.add(new KeyRange(first, other.first - 1));
    }
    if (other.last < last) {
      left.add(new KeyRange(other.last + 1, last));
    }
    return left;
  }

  @Override
  public String toString() {
    return first + "-" + last;
  }
}
