package io.cuminvalve.core.lease;

/**
 * The outcome of an order to a target.
 *
 * @since 0.2
 */
public enum OrderOutcome {
  /** The target carried the order out. */
  DONE,
  /** The target refused it because it knows a higher token for one of the keys. */
  STALE,
  /** The target answered that it cannot carry the order out. */
  REJECTED,
  /**
   * Another target answered at the address and did not carry the order out: the addressed target
   * has terminated.
   */
  OTHER_TARGET,
  /** No byte of the order was sent. */
  NOT_SENT,
  /** It may have been sent but got no answer: it may still be carried out later. */
  UNANSWERED
}
