package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.TargetId;

/**
 * The response times of a target.
 *
 * @param target the target; not null
 * @param meanRelativeLatency mean response time of the target, divided by the mean response time of
 *     the routes served
 * @param answers number of responses; at least 1
 * @since 0.2
 */
public record TargetLatency(TargetId target, double meanRelativeLatency, int answers) {}
