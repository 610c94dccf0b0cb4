package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.TargetId;

/**
 * How long a target took.
 *
 * @param target the target; not null
 * @param meanRelativeTime the mean time of its answers over the mean of their routes
 * @param answers how many answers that was; at least 1
 * @since 0.2
 */
public record TargetTime(TargetId target, double meanRelativeTime, int answers) {}
