package io.cuminvalve.core.route;

import io.cuminvalve.core.id.ServiceId;

/**
 * What a configuration says of a service.
 *
 * @param id the service; not null
 * @param keyed whether each of its keys is owned by one target at a time
 * @param maxConnections how many connections a target accepts from all callers together
 * @since 0.2
 */
public record ServiceProfile(ServiceId id, boolean keyed, int maxConnections) {}
