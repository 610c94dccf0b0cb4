package io.cuminvalve.core.authority.internal;

/**
 * Numbers the heartbeats of a holder.
 *
 * <p>Numbers of different terms never coincide, so that a late reply to an earlier holder cannot be
 * taken for one to this holder.
 *
 * @since 0.1
 */
public final class RoundCounter {

  private static final int TERM_SHIFT = 32;

  private long last;

  /**
   * Creates a counter.
   *
   * @param term the term of the holder
   */
  public RoundCounter(long term) {
    last = term << TERM_SHIFT;
  }

  /**
   * Takes the number of the next heartbeat.
   *
   * @return greater than all before
   */
  public long next() {
    last++;
    return last;
  }

  /**
   * Returns the lowest number that a heartbeat sent from now on can have.
   *
   * @return one more than the last taken
   */
  public long upcoming() {
    return last + 1;
  }
}
