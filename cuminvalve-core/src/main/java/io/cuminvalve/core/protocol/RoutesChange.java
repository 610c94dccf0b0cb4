package io.cuminvalve.core.protocol;

import java.util.List;

/**
 * Sent by the term holder: the routes that differ from the previous version.
 *
 * <p>In a large fleet, sending all routes on every change would cost each process megabytes per
 * second while keys move; the change alone is a few dozen bytes.
 *
 * @param term the term of the holder
 * @param fromVersion the version to which the change applies
 * @param version the version after the change
 * @param services the complete ranges that differ, for each service that has any; not null
 * @since 0.2
 */
public record RoutesChange(long term, long fromVersion, long version, List<ServiceRanges> services)
    implements FleetMessage {

  /** Copies the list. */
  public RoutesChange {
    services = List.copyOf(services);
  }
}
