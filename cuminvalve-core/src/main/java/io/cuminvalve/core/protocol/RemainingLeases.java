package io.cuminvalve.core.protocol;

import java.util.List;

/**
 * The answer to {@link TermSuperseded}, from a process that will grant nothing more in its term.
 *
 * @param term its term; 0 if this run of the process never held one
 * @param leases every lease of it, or of earlier holders as far as it knows, that may be in force;
 *     not null
 * @since 0.2
 */
public record RemainingLeases(long term, List<RemainingLease> leases) implements FleetMessage {

  /** Copies the list. */
  public RemainingLeases {
    leases = List.copyOf(leases);
  }
}
