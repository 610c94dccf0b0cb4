package io.cuminvalve.core.protocol;

import java.util.List;

/**
 * Sent by any process to the term holder: the targets that have requested a back-off from the
 * sender.
 *
 * @param process the sender's id; not null
 * @param backoffs the back-offs in effect at the sender; not null
 * @since 0.2
 */
public record TargetBackoffsReport(String process, List<TargetBackoff> backoffs)
    implements FleetMessage {

  /** Copies the list. */
  public TargetBackoffsReport {
    backoffs = List.copyOf(backoffs);
  }
}
