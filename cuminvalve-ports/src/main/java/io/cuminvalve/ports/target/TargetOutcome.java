package io.cuminvalve.ports.target;

/**
 * The outcome of a control call to a target.
 *
 * @since 0.1
 */
public enum TargetOutcome {
  /** The target responded that it carried out the order. */
  DONE,
  /** The target responded that it has seen a higher token. */
  STALE_TOKEN,
  /** The connection was refused: nothing listens there. The order was not delivered. */
  CONNECTION_REFUSED,
  /** No usable response in time: the order may have been carried out, or may be later. */
  NO_ANSWER
}
