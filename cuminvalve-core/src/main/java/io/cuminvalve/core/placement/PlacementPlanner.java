package io.cuminvalve.core.placement;

/**
 * Decides which target owns each shard and which is its standby.
 *
 * <p>A planner is a pure function: equal inputs give equal plans.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PlacementPlanner {

  /**
   * Plans the next assignment.
   *
   * @param input the current state; not null
   * @return the next assignment and the moves that lead to it; never null
   */
  PlacementPlan plan(PlacementInput input);
}
