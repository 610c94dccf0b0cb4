package io.cuminvalve.core.rule;

/**
 * The urgency of a request.
 *
 * @since 0.1
 */
public enum RequestClass {
  /** A user waits for the response. */
  INTERACTIVE,
  /** May be delayed by interactive requests but must complete. */
  DEFERRABLE
}
