package io.cuminvalve.core.authority;

/**
 * What a probe of another process found.
 *
 * @since 0.1
 */
public enum PeerProbeOutcome {
  /** A connection was accepted. */
  LISTENING,
  /** The connection was refused: nothing listens there. */
  REFUSED,
  /** Nothing came back. */
  SILENT
}
