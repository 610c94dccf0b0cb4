package io.cuminvalve.core.protocol;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import java.util.List;

/**
 * Sent by the holder of the term: which targets came, changed or went since the version before.
 *
 * @param term the holder's term
 * @param fromVersion the version to which the change applies
 * @param version the version after it
 * @param written the targets that are new or differ; not null
 * @param removed the targets that are gone; not null
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
