package io.cuminvalve.core.protocol;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import java.util.List;

/**
 * Sent by the term holder: the targets added, changed or removed since the previous version.
 *
 * @param term the term of the holder
 * @param fromVersion the version to which the change applies
 * @param version the version after the change
 * @param written the added or changed targets; not null
 * @param removed the removed targets; not null
 * @since 0.2
 */
public record TargetsChange(
    long term, long fromVersion, long version, List<FleetTarget> written, List<TargetId> removed)
    implements FleetMessage {

  /** Copies the lists. */
  public TargetsChange {
    written = List.copyOf(written);
    removed = List.copyOf(removed);
  }
}
