package io.cuminvalve.core.protocol;

import io.cuminvalve.core.fleet.FleetTarget;
import java.util.List;

/**
 * Sent by the term holder whenever routing has to change: the complete target list.
 *
 * @param term the term of the holder
 * @param version the version, which increases within a term
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
