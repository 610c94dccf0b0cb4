package io.cuminvalve.core.reach;

/**
 * How many of the targets a gateway reaches.
 *
 * @param reachable targets that it reaches, as far as it knows; at least 0
 * @param unreachable targets that it does not reach; at least 0
 * @since 0.2
 */
public record ReachShare(int reachable, int unreachable) {

  private static final double MOST = 0.5;

  /**
   * Returns the share of the targets that the gateway reaches.
   *
   * @return 0 to 1; 1 if it knows no targets
   */
  public double value() {
    int all = reachable + unreachable;
    return all == 0 ? 1 : (double) reachable / all;
  }

  /**
   * Returns whether the gateway reaches at least half of the targets.
   *
   * @return false if it knows no targets
   */
  public boolean reachesMost() {
    return reachable > 0 && value() >= MOST;
  }
}
