package io.cuminvalve.core.reach;

/**
 * How an attempt to open a connection to a target failed.
 *
 * @since 0.2
 */
public enum ConnectFailure {
  /** There was no answer in time. */
  TIMEOUT,
  /** The connection was refused, by the host of the target or on the way. */
  REFUSED
}
