package io.cuminvalve.core.intent;

/**
 * Result of a claim at one replica.
 *
 * @since 0.1
 */
public enum IntentAnswer {
  /** The replica stored the claim; no other request may claim the operation. */
  GRANTED,
  /** Another request has claimed the operation and has not ended. */
  IN_FLIGHT,
  /** An earlier request executed the operation. */
  RAN,
  /** An earlier request may have executed the operation. */
  MAY_HAVE_RUN,
  /**
   * The replica is full, is still recovering, or has a different set of registered routers than the
   * sender.
   */
  NOT_READY
}
