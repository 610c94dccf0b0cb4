package io.cuminvalve.core.protocol;

import java.util.List;

/**
 * Sent by any process to the term holder: the targets that have requested a back-off from the
 * sender.
 *
 * @param process the sender's id; not null
 * @param rests the back-offs in effect at the sender; not null
 * @since 0.2
 */
public record TargetRestsReport(String process, List<TargetRest> rests) implements FleetMessage {

  /** Copies the list. */
  public TargetRestsReport {
    rests = List.copyOf(rests);
  }
}
