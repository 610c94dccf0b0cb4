package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.kernel.UpperTime;

/**
 * Permission to have one request in flight at a target.
 *
 * @param target the target; not null
 * @param assignedAt when the slot was assigned; not null
 */
record Slot(FleetTarget target, UpperTime assignedAt) {}
