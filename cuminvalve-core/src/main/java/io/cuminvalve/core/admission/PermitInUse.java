package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.TargetId;

/**
 * A permit that a router holds, as reported to a new gate.
 *
 * @param permit the number of the permit, unique within one incarnation of the router
 * @param target the target; not null
 * @param remainingMs milliseconds until the deadline of the request
 * @since 0.1
 */
public record PermitInUse(long permit, TargetId target, long remainingMs) {}
