package io.cuminvalve.core.waiting;

/**
 * How often a place becomes free, by the latest completions.
 *
 * <p>Load: hosts that are several times slower for less than a second. Few completions count, so
 * that an estimate follows such a moment. Not thread-safe.
 *
 * @since 0.2
 */
public final class CompletionPace {

  /** Weight of the newest completion; about the last four count. */
  private static final double EWMA_WEIGHT = 0.25;

  private double meanMs;

  /**
   * Records that a request has left its place.
   *
   * @param tookMs how long it held the place; milliseconds
   */
  public void onCompletion(long tookMs) {
    double newestMs = Math.max(1, tookMs);
    meanMs = meanMs == 0 ? newestMs : meanMs + EWMA_WEIGHT * (newestMs - meanMs);
  }

  /**
   * Returns the mean time between completions while all places are in use.
   *
   * @param places the number of places; values below 1 count as 1
   * @return milliseconds; 0 without a completion
   */
  public double msPerCompletion(int places) {
    return meanMs / Math.max(1, places);
  }
}
