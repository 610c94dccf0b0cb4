package io.cuminvalve.core.lease;

/**
 * How an order to a target ended.
 *
 * @since 0.2
 */
public enum OrderOutcome {
  /** The target carried it out. */
  DONE,
  /** The target knows a higher token for one of the keys. */
  STALE,
  /** The target answered that it cannot carry it out. */
  REJECTED,
  /** Another run answered at the target's address, and did nothing: the one meant has ended. */
  OTHER_TARGET,
  /** No byte of it was sent. */
  NOT_SENT,
  /** It may have been sent, and there was no answer: it may be carried out later. */
  UNANSWERED
}
