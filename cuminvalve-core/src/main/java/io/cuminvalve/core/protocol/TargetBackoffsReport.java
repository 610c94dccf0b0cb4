package io.cuminvalve.core.protocol;

import java.util.List;

/**
 * Sent by any process to the holder of the term: targets have asked this process for rest.
 *
 * @param process the sender's id; not null
 * @param rests the targets that it leaves alone; not null
 * @since 0.2
 */
public record TargetBackoffsReport(String process, List<TargetBackoff> rests)
    implements FleetMessage {

  /** Copies the list. */
  public TargetBackoffsReport {
    rests = List.copyOf(rests);
  }
}
