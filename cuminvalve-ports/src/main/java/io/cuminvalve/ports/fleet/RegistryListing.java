package io.cuminvalve.ports.fleet;

import io.cuminvalve.core.fleet.FleetTarget;
import java.util.List;

/**
 * All registrations.
 *
 * @param available false if the registry did not answer; then the rest is empty
 * @param targets every registration that can be understood; not null
 * @param unreadable entries that name no target, each with the reason; not null
 * @param revision changes after this one are not included
 * @param epoch rises when the registry has come back from an older copy; 0 if it tells of none
 * @since 0.2
 */
public record RegistryListing(
    boolean available,
    List<FleetTarget> targets,
    List<String> unreadable,
    long revision,
    long epoch) {

  /** Copies the lists. */
  public RegistryListing {
    targets = List.copyOf(targets);
    unreadable = List.copyOf(unreadable);
  }

  /**
   * Returns the result of a call that got no answer.
   *
   * @return never null
   */
  public static RegistryListing unavailable() {
    return new RegistryListing(false, List.of(), List.of(), 0, 0);
  }
}
