package io.cuminvalve.wire;

/**
 * The state of the link to a peer.
 *
 * @since 0.1
 */
public enum Reachability {
  /** No attempt to connect has finished yet. */
  UNKNOWN,
  /** The peer is authenticated and responds. */
  CONNECTED,
  /** The last connection attempt was refused: the host is up, but no process listens. */
  REFUSED,
  /** The peer neither responded nor refused the connection in time. */
  SILENT,
  /** The peer responded, but failed authentication or violated the protocol. */
  REJECTED
}
