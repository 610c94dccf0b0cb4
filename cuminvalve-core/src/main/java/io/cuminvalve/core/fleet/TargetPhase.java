package io.cuminvalve.core.fleet;

/**
 * The phase that a target reports.
 *
 * @since 0.2
 */
public enum TargetPhase {
  /** The target accepts requests. */
  READY,
  /** The target is about to leave: no new requests may be sent to it. */
  DRAINING
}
