package io.cuminvalve.core.protocol;

import java.util.List;

/**
 * Sent by the holder of the term: where the keys of all services are, whenever that changes.
 *
 * @param term the holder's term
 * @param version grows within a term
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
