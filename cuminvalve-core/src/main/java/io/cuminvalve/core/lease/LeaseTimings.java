package io.cuminvalve.core.lease;

/**
 * The times of leases at targets. All in milliseconds.
 *
 * @param leaseMs how long a lease runs from its arrival at the target
 * @param outageLeaseMs how long it runs if it was granted while the store did not answer: nobody
 *     may be able to renew it for as long as that lasts
 * @param renewMs pause between two renewals
 * @param maxRenewMs the same if there are so many leases that the holder needs more time
 * @param renewalCostMs time that the holder takes for one renewal at a bearable load
 * @param retryMs pause before an order that got no answer is sent again
 * @param clockDrift by how much a target's clock may run slow, as a share
 * @param marginMs added to every bound on another process's lease, for timers that fire late
 * @param holderGraceMs for how long a holder that the store does not answer goes on renewing
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
   * Returns how long a lease may be in force after it was sent, counted on the sender's clock.
   *
   * <p>The time on the way is not included: bytes that are held up are lost with their connection.
   *
   * @param grantedMs for how long it was granted; milliseconds
   * @return milliseconds
   */
  public long boundMs(long grantedMs) {
    return (long) Math.ceil(grantedMs * (1 + clockDrift)) + marginMs;
  }

  /**
   * Returns for how long leases of another holder may be in force after it lost its term.
   *
   * @return milliseconds
   */
  public long foreignLeaseMs() {
    return holderGraceMs + boundMs(outageLeaseMs);
  }
}
