package io.cuminvalve.core.quota;

/**
 * The bound on the requests that a cold target may get in any second from all gateways together.
 *
 * @param margin factor by which the bound exceeds the rate that the target can take
 * @param slack number of requests by which it exceeds that in addition
 * @since 0.2
 */
public record ColdBound(double margin, double slack) {

  /**
   * Requests that quota permits in one second beyond a rate: those saved up, and those whose permit
   * was issued before.
   */
  private static final double BURST = 2;

  /**
   * Requests in the worst second as a multiple of the rate: its own, half of it saved up, half of
   * it permitted before, and half of it from gateways that reach no issuer.
   */
  private static final double WORST_SECOND = 2.5;

  /**
   * Returns the rate at which quota is issued, so that no second exceeds the bound, whether all
   * gateways reach the issuer or not.
   *
   * @param requestsPerS the rate that a cold target can take; above 0
   * @return requests per second; above 0
   */
  public double issuedPerS(double requestsPerS) {
    double permitted = requestsPerS * margin;
    double bound = permitted + slack;
    double safe = (bound - BURST) / WORST_SECOND;
    return Math.max(PriorityTokenBucket.MIN_PER_S, Math.min(permitted, safe));
  }
}
