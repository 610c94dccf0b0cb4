package io.cuminvalve.core.protocol;

import java.util.List;

/**
 * Reply to {@link TermSuperseded} from a process that will grant no further leases in its term.
 *
 * @param term the sender's term; 0 if it has held none since it started
 * @param leases every lease that may still be valid, granted by the sender or, as far as it knows,
 *     by earlier holders; not null
 * @since 0.2
 */
public record RemainingLeases(long term, List<RemainingLease> leases) implements FleetMessage {

  /** Copies the list. */
  public RemainingLeases {
    leases = List.copyOf(leases);
  }
}
