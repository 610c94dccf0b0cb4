package io.cuminvalve.core.lease;

/**
 * Durations that govern leases at targets. All in milliseconds unless stated otherwise.
 *
 * @param leaseMs duration of a lease, counted from its arrival at the target
 * @param outageLeaseMs duration of a lease granted while the store does not answer; longer, because
 *     it may be impossible to renew it until the outage ends
 * @param renewMs interval between two renewals of a lease
 * @param maxRenewMs upper limit of that interval when it is extended because of many leases
 * @param renewalCostMs time that the term holder needs for one renewal under acceptable load
 * @param retryMs delay before an order that was not carried out is sent again
 * @param clockDrift maximum drift of a target's clock, as a fraction: 0.02 is 2% slow
 * @param marginMs safety margin for timers that fire late, added to every bound on the lease of
 *     another process
 * @param holderGraceMs how long a term holder continues to renew leases while the store does not
 *     answer
 * @since 0.2
 */
public record LeaseTimings(
    long leaseMs,
    long outageLeaseMs,
    long renewMs,
    long maxRenewMs,
    long renewalCostMs,
    long retryMs,
    double clockDrift,
    long marginMs,
    long holderGraceMs) {

  /**
   * Returns how long a lease may be in force after its grant was sent, on the sender's clock.
   *
   * <p>Network delay is not included: bytes that are delayed are lost with their connection.
   *
   * @param grantedMs the granted duration; milliseconds
   * @return milliseconds
   */
  public long boundMs(long grantedMs) {
    return (long) Math.ceil(grantedMs * (1 + clockDrift)) + marginMs;
  }

  /**
   * Returns how long leases of another term holder may be in force after it lost its term.
   *
   * @return milliseconds
   */
  public long foreignLeaseMs() {
    return holderGraceMs + boundMs(outageLeaseMs);
  }
}
