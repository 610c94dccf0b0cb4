package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.TargetId;

/**
 * For how long a process leaves a target alone that has asked it for rest.
 *
 * @param target the run of the target; not null
 * @param leftMs how long still; milliseconds, at least 0
 * @since 0.2
 */
public record TargetBackoff(TargetId target, long leftMs) {}
