package io.cuminvalve.ports.target;

/**
 * What a target says of itself. It lags and misleads: a hint, never a proof.
 *
 * @since 0.1
 */
public enum TargetState {
  /** Takes work. */
  READY,
  /** Takes no new work. */
  DRAINING,
  /** Takes work, slowly: it has just started. */
  COLD
}
