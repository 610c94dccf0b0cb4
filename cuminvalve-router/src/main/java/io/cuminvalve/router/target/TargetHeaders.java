package io.cuminvalve.router.target;

/**
 * The header fields between routers and targets; see docs/PROTOCOLS.md.
 *
 * @since 0.1
 */
public final class TargetHeaders {

  /** The identifier of the request. */
  public static final String REQUEST_ID = "Cuminvalve-Request-Id";

  /** The shard of the request's key. */
  public static final String SHARD = "Cuminvalve-Shard";

  /** The fencing token of the shard's owner. */
  public static final String TOKEN = "Cuminvalve-Token";

  /** The absolute expiry of the request's grant, on the target's clock in milliseconds. */
  public static final String EXPIRY = "Cuminvalve-Expiry";

  /** The run of the target that the request is meant for. */
  public static final String EXPECTED_INCARNATION = "Cuminvalve-Expected-Incarnation";

  /** What is left of the deadline; milliseconds. */
  public static final String TIMEOUT_MS = "Cuminvalve-Timeout-Ms";

  /** The reading of the target's clock; milliseconds. */
  public static final String TARGET_CLOCK = "Cuminvalve-Target-Clock";

  /** The run of the target that answers. */
  public static final String TARGET_INCARNATION = "Cuminvalve-Target-Incarnation";

  /** How the target refused the request before running it. */
  public static final String REFUSAL = "Cuminvalve-Refusal";

  private TargetHeaders() {}
}
