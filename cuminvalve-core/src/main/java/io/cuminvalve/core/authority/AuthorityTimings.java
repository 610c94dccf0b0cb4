package io.cuminvalve.core.authority;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;

/**
 * The durations of the authority protocol, all in milliseconds.
 *
 * @param routeLeaseMs how long a router may dispatch after it asked its witnesses
 * @param leaseRenewMs time between two lease requests of a router
 * @param requestGrantMs longest validity of the grant that rides on one request; at most the route
 *     lease
 * @param clockAgeMs how old the last reading of a target's clock may be to derive an expiry from
 * @param heartbeatMs time between two heartbeats of the holder
 * @param marginMs allowance for clock rates over one lease and one clock age
 * @param probeMs time between two probes of a suspected or unassigned target
 * @param suspicionMs silence of a target after which routers' observations count against it
 * @param routerLostMs silence of a registered router after which it is removed
 * @param termLeaseMs length of the holder's lease in the store
 * @param storeTimeoutMs time after which a store operation without reply counts as unknown
 * @param targetTimeoutMs time after which a target order without reply is repeated
 * @param drainTimeoutMs longest wait for requests in flight on a planned move
 * @param moveBatchShards largest number of planned moves in one table version
 * @param moveBatchMs shortest time between two batches of planned moves
 * @since 0.1
 */
public record AuthorityTimings(
    long routeLeaseMs,
    long leaseRenewMs,
    long requestGrantMs,
    long clockAgeMs,
    long heartbeatMs,
    long marginMs,
    long probeMs,
    long suspicionMs,
    long routerLostMs,
    long termLeaseMs,
    long storeTimeoutMs,
    long targetTimeoutMs,
    long drainTimeoutMs,
    int moveBatchShards,
    long moveBatchMs) {

  /** The timings that the figures in docs/MEASUREMENTS.md were measured with. */
  public static final AuthorityTimings DEFAULT =
      new AuthorityTimings(
          500, 150, 300, 2_000, 100, 50, 100, 250, 10_000, 1_000, 1_000, 200, 2_000, 64, 100);

  /**
   * Checks the relations between the durations.
   *
   * @throws CodedException with code INVALID_INPUT if a lease could not be renewed in time or a
   *     grant could outlive it
   */
  public AuthorityTimings {
    if (leaseRenewMs * 2 >= routeLeaseMs || requestGrantMs > routeLeaseMs || marginMs < 1) {
      throw new CodedException(
          ErrorCode.INVALID_INPUT,
          "route lease must be over two renewals and at least one request grant; margin above 0");
    }
  }

  /**
   * Returns these timings with another route lease; renewal and request grants keep their share.
   *
   * @param newRouteLeaseMs the length of a route lease
   * @return new timings
   */
  public AuthorityTimings withRouteLeaseMs(long newRouteLeaseMs) {
    return new AuthorityTimings(
        newRouteLeaseMs,
        Math.max(1, leaseRenewMs * newRouteLeaseMs / routeLeaseMs),
        Math.max(1, requestGrantMs * newRouteLeaseMs / routeLeaseMs),
        clockAgeMs,
        heartbeatMs,
        marginMs,
        probeMs,
        suspicionMs,
        routerLostMs,
        termLeaseMs,
        storeTimeoutMs,
        targetTimeoutMs,
        drainTimeoutMs,
        moveBatchShards,
        moveBatchMs);
  }
}
