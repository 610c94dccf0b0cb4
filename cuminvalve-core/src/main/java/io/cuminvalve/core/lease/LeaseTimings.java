package io.cuminvalve.core.lease;

/**
 * The times of leases at targets. All in milliseconds.
 *
 * @param leaseMs how long a lease runs from its arrival at the target
 * @param renewMs pause between two renewals
 * @param retryMs pause before an order that got no answer is sent again
 * @param clockDrift by how much a target's clock may run slow, as a share
 * @param marginMs added to every bound on another process's lease, for timers that fire late
 * @param holderGraceMs for how long a holder that the store does not answer goes on renewing
 * @since 0.2
 */
public record LeaseTimings(
    long leaseMs,
    long renewMs,
    long retryMs,
    double clockDrift,
    long marginMs,
    long holderGraceMs) {

  /**
   * Returns how long a lease may be in force after it was sent, counted on the sender's clock.
   *
   * <p>The time on the way is not included: bytes that are held up are lost with their connection.
   *
   * @return milliseconds
   */
  public long longestLeaseMs() {
    return (long) Math.ceil(leaseMs * (1 + clockDrift)) + marginMs;
  }

  /**
   * Returns for how long leases of another holder may be in force after it lost its term.
   *
   * @return milliseconds
   */
  public long foreignLeaseMs() {
    return holderGraceMs + longestLeaseMs();
  }
}
