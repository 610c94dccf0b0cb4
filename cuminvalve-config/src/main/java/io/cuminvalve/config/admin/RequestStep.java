package io.cuminvalve.config.admin;

import io.cuminvalve.core.id.TargetId;

/**
 * One step in the life of a request.
 *
 * @param sinceArrivalMs time since the request arrived at the router; milliseconds
 * @param name such as {@code ADMITTED}, {@code QUEUED}, {@code SENT}, {@code ANSWERED}; not null
 * @param target the target it concerns; null if none
 * @param detail more for operators; not null, may be empty
 * @since 0.1
 */
public record RequestStep(long sinceArrivalMs, String name, TargetId target, String detail) {}
