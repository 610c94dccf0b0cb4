package io.cuminvalve.ports.fleet;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import java.util.List;

/**
 * What changed in the registry.
 *
 * @param status whether the rest can be used; not null
 * @param written registrations that are new or were rewritten, the last state of each; not null
 * @param removed targets whose registration is gone, whichever run wrote it; not null
 * @param unreadable entries that name no target, each with the reason; not null
 * @param revision the revision to go on from
 * @since 0.2
 */
public record RegistryChanges(
    Status status,
    List<FleetTarget> written,
    List<TargetId> removed,
    List<String> unreadable,
    long revision) {

  /** Whether there is an answer. */
  public enum Status {
    /** The registry answered, perhaps that nothing changed. */
    ANSWERED,
    /** Changes were forgotten: read everything again. */
    HISTORY_LOST,
    /** No answer came. */
    UNAVAILABLE
  }

  /** Copies the lists. */
  public RegistryChanges {
    written = List.copyOf(written);
    removed = List.copyOf(removed);
    unreadable = List.copyOf(unreadable);
  }

  /**
   * Returns a result without changes.
   *
   * @param status why; not null
   * @return never null
   */
  public static RegistryChanges none(Status status) {
    return new RegistryChanges(status, List.of(), List.of(), List.of(), 0);
  }
}
