package io.cuminvalve.core.fleet;

/**
 * What a target says of itself.
 *
 * @since 0.2
 */
public enum TargetPhase {
  /** It takes requests. */
  READY,
  /** It is about to leave: nothing new may go there. */
  DRAINING
}
