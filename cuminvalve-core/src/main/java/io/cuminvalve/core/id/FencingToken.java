package io.cuminvalve.core.id;

/**
 * Orders successive ownerships of one shard. A target refuses any token lower than the highest one
 * that it has seen.
 *
 * <p>A token issued with a write to the store is even. The next odd token is reserved for the
 * recorded standby and takes effect only when the standby is activated, so that it is already
 * authorised by the store.
 *
 * @param value at least 0
 * @since 0.1
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

  /** The difference between consecutive tokens written to the store. */
  public static final long STEP = 2;

  /**
   * Returns the token of the next owner written to the store.
   *
   * @return the next even token above this one
   */
  public FencingToken next() {
    return new FencingToken((value / STEP + 1) * STEP);
  }

  /**
   * Returns the token with which the recorded standby takes over.
   *
   * @return the next odd token above this one
   */
  public FencingToken standby() {
    return new FencingToken(value + 1 + value % STEP);
  }

  @Override
  public int compareTo(FencingToken other) {
    return Long.compare(value, other.value);
  }
}
