package io.cuminvalve.core.intent;

/**
 * Limits and timeouts of claims.
 *
 * @param retentionMs how long the outcome of an operation is kept; a retry that arrives later may
 *     be executed again; milliseconds
 * @param closeGraceMs how long after its deadline a request may take to be given up; a claim
 *     without an outcome counts as MAY_HAVE_RUN only after this time; milliseconds
 * @param claimTimeoutMs how long a claim waits for its replicas; milliseconds
 * @param recoveryTimeoutMs time after which a replica answers claims even if entries stored only by
 *     two lost routers are missing; milliseconds
 * @param maxEntries how many operations a replica stores; when full it rejects new claims and
 *     evicts nothing
 * @since 0.1
 */
public record IntentSettings(
    long retentionMs,
    long closeGraceMs,
    long claimTimeoutMs,
    long recoveryTimeoutMs,
    int maxEntries) {

  /** Keeps outcomes for ten minutes. */
  public static final IntentSettings DEFAULT =
      new IntentSettings(600_000, 1_000, 300, 5_000, 1_000_000);
}
