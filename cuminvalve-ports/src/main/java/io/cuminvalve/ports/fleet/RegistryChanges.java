package io.cuminvalve.ports.fleet;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import java.util.List;

/**
 * The changes in the registry after a given revision.
 *
 * @param status whether the other components are valid; not null
 * @param written registrations that were created or updated, the last state of each; not null
 * @param removed targets whose registration was removed, whichever incarnation wrote it; not null
 * @param unreadable entries that cannot be parsed as a target, each with the reason; not null
 * @param revision the revision to continue from
 * @since 0.2
 */
public record RegistryChanges(
    Status status,
    List<FleetTarget> written,
    List<TargetId> removed,
    List<String> unreadable,
    long revision) {

  /** Whether the registry returned changes. */
  public enum Status {
    /** The registry responded; there may be no changes. */
    ANSWERED,
    /** The registry no longer has all changes after the revision: read everything again. */
    HISTORY_LOST,
    /** The registry did not respond. */
    UNAVAILABLE
  }

  /** Makes immutable copies of the lists. */
  public RegistryChanges {
    written = List.copyOf(written);
    removed = List.copyOf(removed);
    unreadable = List.copyOf(unreadable);
  }

  /**
   * Returns a result without changes.
   *
   * @param status the reason; not null
   * @return never null
   */
  public static RegistryChanges none(Status status) {
    return new RegistryChanges(status, List.of(), List.of(), List.of(), 0);
  }
}
