package io.cuminvalve.core.admission;

/**
 * Limits and times of admission.
 *
 * @param maxQueuedPerSlot how many requests of one class may wait per slot of a target
 * @param deferrableShare the share of slot time that deferrable work gets while it waits; from 0 to
 *     less than 1
 * @param maxPermitMs the longest time that a permit may be held, and so the longest deadline;
 *     milliseconds
 * @param lostPermitMs how long slots are kept for the requests of a router that was lost together
 *     with the knowledge of its permits; milliseconds
 * @param closeGraceMs how long after its deadline an attempt may take to be closed; milliseconds
 * @param gateTimeoutMs how long a request waits for a sign of its gate; milliseconds
 * @param routeLeaseMs how long a router may dispatch after it lost contact, margin included;
 *     milliseconds
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

  /** Settings that suit services with answers within seconds. */
  public static final AdmissionSettings DEFAULT =
      new AdmissionSettings(64, 0.1, 30_000, 2_000, 500, 300, 1_000);
}
