package io.cuminvalve.core.protocol;

import io.cuminvalve.core.fleet.DepartureReport;
import java.util.List;

/**
 * Exchanges departure reports between any two processes: the targets that have announced their
 * shutdown.
 *
 * @param complete whether these are all reports known to the sender, so that the receiver can
 *     detect and send what the sender is missing
 * @param reports the reports; not null
 * @since 0.2
 */
public record DepartureUpdate(boolean complete, List<DepartureReport> reports)
    implements FleetMessage {

  /** Copies the list. */
  public DepartureUpdate {
    reports = List.copyOf(reports);
  }
}
