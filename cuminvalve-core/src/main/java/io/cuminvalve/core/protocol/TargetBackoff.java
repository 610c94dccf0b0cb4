package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.TargetId;

/**
 * The remaining back-off of a process for a target that requested it.
 *
 * @param target the target incarnation; not null
 * @param leftMs remaining back-off; milliseconds, at least 0
 * @since 0.2
 */
public record TargetBackoff(TargetId target, long leftMs) {}
