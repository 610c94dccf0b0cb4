package io.cuminvalve.core.protocol;

import java.util.List;

/**
 * Sent by the holder of the term: which keys go elsewhere since the version before.
 *
 * <p>In a wide fleet the whole map would cost a process megabytes a second while keys move; the
 * change alone is a few dozen bytes.
 *
 * @param term the holder's term
 * @param fromVersion the version to which the change applies
 * @param version the version after it
 * @param services the ranges that differ, whole, for each service with such ranges; not null
 * @since 0.2
 */
public record RoutesChange(long term, long fromVersion, long version, List<ServiceRanges> services)
    implements FleetMessage {

  /** Copies the list. */
  public RoutesChange {
    services = List.copyOf(services);
  }
}
