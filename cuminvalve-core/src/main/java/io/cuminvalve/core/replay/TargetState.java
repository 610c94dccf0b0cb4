package io.cuminvalve.core.replay;

/**
 * How a target behaves in a trace.
 *
 * @since 0.1
 */
public enum TargetState {
  /** It answers. */
  UP,
  /** Nothing listens; what it worked on is cut. */
  KILLED,
  /** It accepts bytes and does nothing with them before its next state. */
  FROZEN,
  /** It breaks connections in the middle of its answers. */
  CUTS_ANSWERS,
  /** It refuses as overloaded. */
  OVERLOADED,
  /** It refuses as draining, and ends what it works on. */
  DRAINING
}
