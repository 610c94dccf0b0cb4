package io.cuminvalve.ports.fleet;

import io.cuminvalve.core.fleet.FleetTarget;
import java.util.List;

/**
 * All registrations in the registry.
 *
 * @param available false if the registry did not respond; all other components are then empty
 * @param targets all registrations that could be parsed; not null
 * @param unreadable entries that cannot be parsed as a target, each with the reason; not null
 * @param revision the revision of the listing; later changes are not included
 * @param epoch increases when the registry is restored from an older snapshot; 0 if it reports none
 * @since 0.2
 */
public record RegistryListing(
    boolean available,
    List<FleetTarget> targets,
    List<String> unreadable,
    long revision,
    long epoch) {

  /** Makes immutable copies of the lists. */
  public RegistryListing {
    targets = List.copyOf(targets);
    unreadable = List.copyOf(unreadable);
  }

  /**
   * Returns the result of a call without a response.
   *
   * @return never null
   */
  public static RegistryListing unavailable() {
    return new RegistryListing(false, List.of(), List.of(), 0, 0);
  }
}
