package io.cuminvalve.core.authority;

/**
 * The answer to a store effect.
 *
 * @param operationId from the effect
 * @param outcome what is known; not null
 * @param value what was read; empty otherwise; not null
 * @param revision revision that was read or written, or the current one on CONFLICT; 0 if the key
 *     does not exist
 * @param leaseId the lease that was created; empty otherwise; not null
 * @since 0.1
 */
public record StoreReply(
    long operationId, StoreOutcome outcome, byte[] value, long revision, String leaseId) {

  private static final byte[] NOTHING = new byte[0];

  /**
   * Creates a reply without value and lease.
   *
   * @param operationId from the effect
   * @param outcome what is known; not null
   * @param revision the revision, 0 if unknown
   * @return the reply
   */
  public static StoreReply of(long operationId, StoreOutcome outcome, long revision) {
    return new StoreReply(operationId, outcome, NOTHING, revision, "");
  }
}
