package io.cuminvalve.core.routing;

import io.cuminvalve.core.rule.RequestRule;
import io.cuminvalve.core.table.KeyHasher;

/**
 * Holds the result of {@link RequestMatcher#match}. Each thread reuses its own instance to avoid
 * allocation.
 *
 * @since 0.1
 */
public final class RouteMatch {

  private final KeySlice slice = new KeySlice();
  private RequestRule rule;

  /**
   * Returns the rule that matched.
   *
   * @return null unless the last match found one
   */
  public RequestRule rule() {
    return rule;
  }

  /**
   * Returns the key of the request.
   *
   * @return a view that is overwritten by the next match; use {@code toString()} to retain it
   */
  public CharSequence key() {
    return slice;
  }

  /**
   * Returns the shard of the key.
   *
   * @param shardCount a power of two
   * @return from 0 to {@code shardCount} - 1
   */
  public int shard(int shardCount) {
    return KeyHasher.shardOf(slice, shardCount);
  }

  void clear() {
    rule = null;
    slice.set("", 0, 0);
  }

  void set(RequestRule matched, String text, int start, int end) {
    rule = matched;
    slice.set(text, start, end);
  }

  private static final class KeySlice implements CharSequence {

    private String text = "";
    private int start;
    private int end;

    void set(String newText, int newStart, int newEnd) {
      text = newText;
      start = newStart;
      end = newEnd;
    }

    @Override
    public int length() {
      return end - start;
    }

    @Override
    public char charAt(int index) {
      return text.charAt(start + index);
    }

    @Override
    public CharSequence subSequence(int from, int to) {
      return text.substring(start + from, start + to);
    }

    @Override
    public String toString() {
      return text.substring(start, end);
    }
  }
}
