package io.cuminvalve.core.route;

import io.cuminvalve.core.id.ServiceId;

/**
 * The properties of a service in the configuration.
 *
 * @param id the service; not null
 * @param keyed whether each of its keys is owned by one target at a time
 * @param maxConnections maximum number of connections that a target accepts from all clients
 *     together
 * @since 0.2
 */
public record ServiceProfile(ServiceId id, boolean keyed, int maxConnections) {}
