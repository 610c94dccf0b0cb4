package io.cuminvalve.core.verdict;

/**
 * The advice for a caller that did not receive the target's answer.
 *
 * @since 0.1
 */
public enum RetryAdvice {
  /** Retry after the advised delay; this is safe. */
  RETRY,
  /** Resend with the same idempotency key to query the result; the request is not run again. */
  ASK_AGAIN,
  /** The caller must decide whether to retry, because the request may have run. */
  CALLER_DECIDES,
  /** Do not retry; the same request would fail again. */
  DO_NOT_RETRY
}
