package io.cuminvalve.core.route;

import io.cuminvalve.core.id.ServiceId;

/**
 * The properties of a service in the configuration.
 *
 * @param id the service; not null
 * @param keyed whether each of its keys is owned by one target at a time
 * @param maxConnections maximum number of connections that a target accepts from all clients
 *     together
 * @param warmUpMs for how long a target is cold after its start; milliseconds; 0 if never
 * @param coldRequestsPerS number of requests per second that a cold target can take; 0 if it has no
 *     limit of its own
 * @since 0.2
 */
public record ServiceProfile(
    ServiceId id, boolean keyed, int maxConnections, long warmUpMs, double coldRequestsPerS) {

  /**
   * Creates the profile of a service whose targets need no protection while they are cold.
   *
   * @param id the service; not null
   * @param keyed whether each of its keys is owned by one target at a time
   * @param maxConnections maximum number of connections that a target accepts
   */
  public ServiceProfile(ServiceId id, boolean keyed, int maxConnections) {
    this(id, keyed, maxConnections, 0, 0);
  }
}
