package io.cuminvalve.core.verdict;

/**
 * The reason why a router ended a request without a complete answer of its target.
 *
 * <p>The name of a constant is the {@code code} in the body of the error response. Its meaning must
 * not change once released.
 *
 * @since 0.1
 */
public enum RefusalReason {
  /** No reason: the answer of the target was relayed. */
  NONE(200, RetryAdvice.DO_NOT_RETRY),
  /** No rule matches the method and path. */
  NO_RULE(404, RetryAdvice.DO_NOT_RETRY),
  /** The rule matches, but the request lacks its key. */
  KEY_MISSING(400, RetryAdvice.DO_NOT_RETRY),
  /** A header that the router reads is malformed. */
  BAD_REQUEST(400, RetryAdvice.DO_NOT_RETRY),
  /** This router has no valid table or route lease. */
  NOT_READY(503, RetryAdvice.RETRY),
  /** The shard has no owner, or its move did not complete in time. */
  SHARD_UNAVAILABLE(503, RetryAdvice.RETRY),
  /** Too many requests are queued for this shard or target. */
  QUEUE_FULL(503, RetryAdvice.RETRY),
  /** According to measured service times, the request cannot complete before its deadline. */
  DEADLINE_UNREACHABLE(503, RetryAdvice.RETRY),
  /** The router that manages the target's queue does not respond. */
  GATE_UNAVAILABLE(503, RetryAdvice.RETRY),
  /** The circuit breaker of the target is open. */
  CIRCUIT_OPEN(503, RetryAdvice.RETRY),
  /** No connection to the target could be established; no data was sent. */
  CONNECT_FAILED(503, RetryAdvice.RETRY),
  /** The target refused the request because it is overloaded. */
  TARGET_OVERLOADED(503, RetryAdvice.RETRY),
  /** The target refused the request because it is draining. */
  TARGET_DRAINING(503, RetryAdvice.RETRY),
  /** The target refused the request because it does not hold the required grant for the shard. */
  TARGET_NOT_OWNER(503, RetryAdvice.RETRY),
  /** The routers that must record the operation before it is sent do not respond. */
  INTENT_UNAVAILABLE(503, RetryAdvice.ASK_AGAIN),
  /** An earlier request with the same idempotency key is still in flight. */
  DUPLICATE_IN_FLIGHT(409, RetryAdvice.ASK_AGAIN),
  /** An earlier request with the same idempotency key ran. */
  ALREADY_RAN(409, RetryAdvice.DO_NOT_RETRY),
  /** An earlier request with the same idempotency key may have run. */
  EARLIER_MAY_HAVE_RUN(409, RetryAdvice.CALLER_DECIDES),
  /** The deadline passed. */
  DEADLINE_EXCEEDED(504, RetryAdvice.CALLER_DECIDES),
  /** The connection to the target broke before the complete answer was read. */
  ANSWER_CUT(502, RetryAdvice.CALLER_DECIDES),
  /** The caller disconnected. */
  CALLER_CANCELLED(499, RetryAdvice.CALLER_DECIDES),
  /** This router is stopping. */
  ROUTER_STOPPING(503, RetryAdvice.RETRY);

  private final int httpStatus;
  private final RetryAdvice advice;

  RefusalReason(int httpStatus, RetryAdvice advice) {
    this.httpStatus = httpStatus;
    this.advice = advice;
  }

  /**
   * Returns the HTTP status of the error response.
   *
   * @return an HTTP status code
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns the retry advice for the given verdict.
   *
   * @param verdict whether the request may have run; not null
   * @return never null
   */
  public RetryAdvice advice(Verdict verdict) {
    if (advice == RetryAdvice.CALLER_DECIDES && verdict == Verdict.NOT_RUN) {
      return RetryAdvice.RETRY;
    }
    return advice;
  }
}
