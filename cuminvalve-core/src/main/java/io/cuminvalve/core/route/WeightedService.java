package io.cuminvalve.core.route;

import io.cuminvalve.core.id.ServiceId;

/**
 * One part of a split route.
 *
 * @param service where the part goes; not null
 * @param weight its share in proportion to the other weights; at least 0
 * @since 0.2
 */
public record WeightedService(ServiceId service, double weight) {}
