package io.cuminvalve.core.protocol;

import io.cuminvalve.core.fleet.FleetTarget;
import java.util.List;

/**
 * Sent by the holder of the term: all targets, whenever routing has to change.
 *
 * @param term the holder's term
 * @param version grows within a term
 * @param targets every registered target; not null
 * @since 0.2
 */
public record TargetsPush(long term, long version, List<FleetTarget> targets)
    implements FleetMessage {

  /** Copies the list. */
  public TargetsPush {
    targets = List.copyOf(targets);
  }
}
