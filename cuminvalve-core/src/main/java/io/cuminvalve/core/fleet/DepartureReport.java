package io.cuminvalve.core.fleet;

import io.cuminvalve.core.id.TargetId;

/**
 * What a process knows of a target that leaves. Clocks of processes differ, so the time is told as
 * an age.
 *
 * @param target the run that leaves; not null
 * @param ageMs how long ago it said so for the first time, as far as is known; milliseconds
 * @since 0.2
 */
public record DepartureReport(TargetId target, long ageMs) {}
