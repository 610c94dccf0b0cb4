package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.kernel.UpperTime;

/**
 * The right to have one request under way at a target.
 *
 * @param target where it may go; not null
 * @param givenAt when that was decided; not null
 */
record Slot(FleetTarget target, UpperTime givenAt) {}
