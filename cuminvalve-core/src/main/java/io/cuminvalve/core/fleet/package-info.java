/**
 * The known targets of the fleet, their registrations, signals and departures, and the deputies.
 */
package io.cuminvalve.core.fleet;
