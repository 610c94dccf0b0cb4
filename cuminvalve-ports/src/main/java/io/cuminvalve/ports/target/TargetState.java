package io.cuminvalve.ports.target;

/**
 * The state that a target reports. It may be late or wrong: a hint, never a proof.
 *
 * @since 0.1
 */
public enum TargetState {
  /** Accepts work. */
  READY,
  /** Accepts no new work. */
  DRAINING,
  /** Accepts work but is slow, having just started. */
  COLD
}
