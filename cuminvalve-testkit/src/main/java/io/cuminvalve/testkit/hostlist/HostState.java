package io.cuminvalve.testkit.hostlist;

/**
 * What the host list says about a host.
 *
 * @since 0.1
 */
public enum HostState {
  /** It is there to stay. */
  LIVE,
  /** It will be taken away. */
  LEAVING
}
