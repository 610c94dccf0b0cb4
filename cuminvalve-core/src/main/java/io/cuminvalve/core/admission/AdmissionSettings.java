package io.cuminvalve.core.admission;

/**
 * Limits and timeouts of admission control.
 *
 * @param maxQueuedPerSlot the maximum number of queued requests of one class per slot of a target
 * @param deferrableShare the share of slot time reserved for deferrable requests while any are
 *     queued; from 0 to less than 1
 * @param maxPermitMs the longest time that a permit may be held, which also bounds the deadline of
 *     a request; milliseconds
 * @param lostPermitMs how long slots stay reserved for a lost router whose permits no other router
 *     knows; milliseconds
 * @param closeGraceMs how long closing an attempt may take after its deadline; milliseconds
 * @param gateTimeoutMs how long a request waits for a reply of its gate; milliseconds
 * @param routeLeaseMs how long a router may keep dispatching after it lost contact, safety margin
 *     included; milliseconds
 * @since 0.1
 */
public record AdmissionSettings(
    int maxQueuedPerSlot,
    double deferrableShare,
    long maxPermitMs,
    long lostPermitMs,
    long closeGraceMs,
    long gateTimeoutMs,
    long routeLeaseMs) {

  /** Defaults for services that answer within seconds. */
  public static final AdmissionSettings DEFAULT =
      new AdmissionSettings(64, 0.1, 30_000, 2_000, 500, 300, 1_000);
}
