package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.TargetId;

/**
 * How long a target took.
 *
 * @param target the target; not null
 * @param meanRelativeLatency the mean time of its answers over the mean of their routes
 * @param answers how many answers that was; at least 1
 * @since 0.2
 */
public record TargetLatency(TargetId target, double meanRelativeLatency, int answers) {}
