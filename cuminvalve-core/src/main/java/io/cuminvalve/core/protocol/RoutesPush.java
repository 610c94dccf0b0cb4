package io.cuminvalve.core.protocol;

import java.util.List;

/**
 * Sent by the term holder whenever routes change: the routes of all services.
 *
 * @param term the term of the holder
 * @param version the version, which increases within a term
 * @param services one entry for each service with keys; not null
 * @since 0.2
 */
public record RoutesPush(long term, long version, List<ServiceRanges> services)
    implements FleetMessage {

  /** Copies the list. */
  public RoutesPush {
    services = List.copyOf(services);
  }
}
