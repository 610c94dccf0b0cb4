package io.cuminvalve.core.protocol;

import io.cuminvalve.core.fleet.DepartureReport;
import java.util.List;

/**
 * Sent between any two processes: which targets have said that they leave.
 *
 * @param complete whether these are all that the sender knows, so that the receiver can tell what
 *     it lacks
 * @param reports what the sender knows; not null
 * @since 0.2
 */
public record DepartureUpdate(boolean complete, List<DepartureReport> reports)
    implements FleetMessage {

  /** Copies the list. */
  public DepartureUpdate {
    reports = List.copyOf(reports);
  }
}
