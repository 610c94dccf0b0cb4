package io.cuminvalve.core.protocol;

import java.util.List;

/**
 * Sent by every process to the holder of the term: how long targets took since the last report.
 *
 * @param times one entry for each target that answered; not null
 * @since 0.2
 */
public record TargetLatencyReport(List<TargetLatency> times) implements FleetMessage {

  /** Copies the list. */
  public TargetLatencyReport {
    times = List.copyOf(times);
  }
}
