package io.cuminvalve.core.placement;

/**
 * The state of a target with respect to placement.
 *
 * @since 0.1
 */
public enum TargetState {
  /** Serves and may receive shards. */
  ACTIVE,
  /** Serves, and receives shards in proportion to how far it has warmed up. */
  COLD,
  /** Is leaving: serves its shards until they are moved, and receives none. */
  DRAINING,
  /** Does not serve: its shards are taken over by their standbys. */
  LOST;

  /**
   * Returns whether a target in this state may receive shards.
   *
   * @return true for ACTIVE and COLD
   */
  public boolean isUsable() {
    return this == ACTIVE || this == COLD;
  }
}
