package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;

/**
 * The right to have one request under way at a target.
 *
 * @param target where it may go; not null
 */
record Slot(FleetTarget target) {}
