package io.cuminvalve.core.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * A contiguous range of keys.
 *
 * @param first the lowest key
 * @param last the highest key, inclusive; at least {@code first}
 * @since 0.2
 */
public record KeyRange(int first, int last) {

  /** The highest key. */
  public static final int MAX_KEY = 65_535;

  /** The number of keys. */
  public static final int KEY_COUNT = MAX_KEY + 1;

  /** The range of all keys. */
  public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

  /**
   * Checks the bounds.
   *
   * @throws IllegalArgumentException if the range is empty or exceeds the key space
   */
  public KeyRange {
    if (first < 0 || last > MAX_KEY || first > last) {
      throw new IllegalArgumentException("invalid key range: " + first + " to " + last);
    }
  }

  /**
   * Returns the number of keys in the range.
   *
   * @return at least 1
   */
  public int size() {
    return last - first + 1;
  }

  /**
   * Returns whether a key lies in the range.
   *
   * @param key the key
   * @return true if it lies within the bounds
   */
  public boolean contains(int key) {
    return first <= key && key <= last;
  }

  /**
   * Returns whether all keys of another range lie in this one.
   *
   * @param other the other range; not null
   * @return true if the other lies within the bounds
   */
  public boolean contains(KeyRange other) {
    return first <= other.first && other.last <= last;
  }

  /**
   * Returns the parts of this range that are not in another range.
   *
   * @param other the other range; not null
   * @return up to two ranges in the order of keys; never null
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
