package io.cuminvalve.ports.target;

/**
 * How a control call to a target ended.
 *
 * @since 0.1
 */
public enum TargetOutcome {
  /** The target answered that it obeyed. */
  DONE,
  /** The target answered that it has seen a higher token. */
  STALE_TOKEN,
  /** The connection was refused: nothing listens there. The order was not given. */
  CONNECTION_REFUSED,
  /** No usable answer came in time: the order may have been obeyed, or may be later. */
  NO_ANSWER
}
