package io.cuminvalve.ports.fleet;

import io.cuminvalve.core.fleet.FleetTarget;
import java.util.List;

/**
 * All registrations.
 *
 * @param available false if the registry did not answer; then the rest is empty
 * @param targets every registration that can be understood; not null
 * @param revision changes after this one are not included
 * @since 0.2
 */
public record RegistryListing(boolean available, List<FleetTarget> targets, long revision) {

  /** Copies the list. */
  public RegistryListing {
    targets = List.copyOf(targets);
  }

  /**
   * Returns the result of a call that got no answer.
   *
   * @return never null
   */
  public static RegistryListing unavailable() {
    return new RegistryListing(false, List.of(), 0);
  }
}
