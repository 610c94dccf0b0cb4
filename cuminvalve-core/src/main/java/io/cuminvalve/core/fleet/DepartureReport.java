package io.cuminvalve.core.fleet;

import io.cuminvalve.core.id.TargetId;

/**
 * A report that a target is leaving. The time is given as an age because clocks of processes
 * differ.
 *
 * @param target the leaving run; not null
 * @param ageMs the time since its first known announcement; milliseconds
 * @since 0.2
 */
public record DepartureReport(TargetId target, long ageMs) {}
