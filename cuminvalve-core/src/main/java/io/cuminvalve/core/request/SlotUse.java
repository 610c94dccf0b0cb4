package io.cuminvalve.core.request;

/**
 * How an attempt used its slot. Input to the measured service time and to the circuit breaker of
 * the target.
 *
 * @since 0.1
 */
public enum SlotUse {
  /** The target answered. */
  ANSWERED,
  /** The target refused the request before running it. */
  REFUSED,
  /** No connection could be made. */
  NOT_CONNECTED,
  /** The connection broke before the answer was complete. */
  BROKEN,
  /** The router abandoned the attempt at the deadline. */
  ABANDONED,
  /** The slot was not used. */
  UNUSED,
  /** The caller disconnected; not evidence about the target. */
  CANCELLED
}
