package io.cuminvalve.core.authority;

/**
 * What is known of an order to a target or of a probe.
 *
 * @since 0.1
 */
public enum TargetOutcome {
  /** The target answered that it is done. */
  DONE,
  /** The target answered that it holds a higher token or an order that forbids this one. */
  REJECTED,
  /** Nothing listens at its address. */
  CONNECTION_REFUSED,
  /** No answer came in time. */
  NO_ANSWER
}
