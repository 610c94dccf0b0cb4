package io.cuminvalve.core.placement;

/**
 * The role of the target that a move replaces.
 *
 * @since 0.1
 */
public enum MoveRole {
  /** The target that serves the shard. */
  OWNER,
  /** The target that takes over if the owner is lost. */
  STANDBY
}
