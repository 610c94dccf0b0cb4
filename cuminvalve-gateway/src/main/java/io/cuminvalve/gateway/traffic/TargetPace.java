package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;

/** Tells how much of a warm target's share a target gets. */
@FunctionalInterface
interface TargetPace {

  /**
   * Returns the share of a target for one choice. Called under the lock of the {@link Dispatcher},
   * so it never blocks and calls nobody.
   *
   * @param target a ready target; not null
   * @return above 0, at most 1
   */
  double shareOf(FleetTarget target);
}
