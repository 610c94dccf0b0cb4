package io.cuminvalve.ports.host;

/**
 * The state of a host as the platform reports it. It lags behind: a hint, never a proof.
 *
 * @since 0.1
 */
public enum HostState {
  /** The host is running. */
  LIVE,
  /** The host will be removed soon. */
  LEAVING
}
