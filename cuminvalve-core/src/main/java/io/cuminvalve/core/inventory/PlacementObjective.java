package io.cuminvalve.core.inventory;

/**
 * The main objective of the placement of a service.
 *
 * @since 0.1
 */
public enum PlacementObjective {
  /** Minimises the time without service: moves early, keeps load spread, accepts more moves. */
  UNAVAILABLE_TIME_FIRST,
  /** Minimises moves: moves late and few shards. */
  CHURN_FIRST
}
