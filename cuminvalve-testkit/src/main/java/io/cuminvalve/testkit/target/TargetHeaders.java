package io.cuminvalve.testkit.target;

/**
 * Header names that targets read and write.
 *
 * @since 0.1
 */
public final class TargetHeaders {

  /** Identifies a request. */
  public static final String REQUEST_ID = "Cuminvalve-Request-Id";

  /** Identifies one attempt or order; repeated in the response. */
  public static final String ATTEMPT_ID = "Cuminvalve-Attempt-Id";

  /** The shard of the request's key. */
  public static final String SHARD = "Cuminvalve-Shard";

  /** The fencing token under which the request is sent. */
  public static final String TOKEN = "Cuminvalve-Token";

  /** When the grant of the request expires, on the target's clock in milliseconds. */
  public static final String EXPIRY = "Cuminvalve-Expiry";

  /** The run of the process that the request is meant for. */
  public static final String EXPECTED_INCARNATION = "Cuminvalve-Expected-Incarnation";

  /** What is left of the deadline, in milliseconds. */
  public static final String TIMEOUT_MS = "Cuminvalve-Timeout-Ms";

  /** Why a request was refused before running. */
  public static final String REFUSAL = "Cuminvalve-Refusal";

  /** The target's monotonic clock in milliseconds. */
  public static final String TARGET_CLOCK = "Cuminvalve-Target-Clock";

  /** The run of the target's process. */
  public static final String INCARNATION = "Cuminvalve-Target-Incarnation";

  /** The caller's name for an operation that must not run twice. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** The load tool's name for an operation; ordinary callers send none. */
  public static final String OPERATION = "X-Operation-Id";

  /** The load tool sends {@code false} if a second execution does harm. */
  public static final String REPEATABLE = "X-Operation-Repeatable";

  /** How long an answer the load tool asks for, in bytes. */
  public static final String ANSWER_BYTES = "X-Answer-Bytes";

  private TargetHeaders() {}
}
