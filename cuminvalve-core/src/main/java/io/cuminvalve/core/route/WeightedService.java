package io.cuminvalve.core.route;

import io.cuminvalve.core.id.ServiceId;

/**
 * One share of a route that splits traffic between services.
 *
 * @param service the service that receives the share; not null
 * @param weight the share relative to the other weights of the route; at least 0
 * @since 0.2
 */
public record WeightedService(ServiceId service, double weight) {}
