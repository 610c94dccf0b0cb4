package io.cuminvalve.core.protocol;

import io.cuminvalve.core.quota.LimitReport;
import java.util.List;

/**
 * Sent between any two processes: which targets name a limit, or none any more.
 *
 * @param complete whether these are all limits that the sender knows, so that the receiver can tell
 *     what it lacks
 * @param reports what the sender knows; not null
 * @since 0.2
 */
public record LimitUpdate(boolean complete, List<LimitReport> reports) implements FleetMessage {

  /** Copies the list. */
  public LimitUpdate {
    reports = List.copyOf(reports);
  }
}
