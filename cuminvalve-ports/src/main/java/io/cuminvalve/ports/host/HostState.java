package io.cuminvalve.ports.host;

/**
 * What the platform says of a host. It lags: a hint, never a proof.
 *
 * @since 0.1
 */
public enum HostState {
  /** The host runs. */
  LIVE,
  /** The host is to be taken away soon. */
  LEAVING
}
