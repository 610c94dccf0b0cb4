package io.cuminvalve.core.protocol;

import java.util.List;

/**
 * Sent by every process to the term holder: the response times of targets since the last report.
 *
 * @param latencies one entry for each target that responded; not null
 * @since 0.2
 */
public record TargetLatencyReport(List<TargetLatency> latencies) implements FleetMessage {

  /** Copies the list. */
  public TargetLatencyReport {
    latencies = List.copyOf(latencies);
  }
}
