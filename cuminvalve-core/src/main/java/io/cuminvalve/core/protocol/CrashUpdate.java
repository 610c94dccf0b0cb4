package io.cuminvalve.core.protocol;

import io.cuminvalve.core.quarantine.CrashReport;
import java.util.List;

/**
 * Exchanges crash reports between any two processes: the requests during which targets crashed.
 *
 * @param complete whether the reports cover every request on the sender's watch list, so that the
 *     receiver can detect and send what the sender is missing
 * @param reports the reports known to the sender; not null
 * @since 0.2
 */
public record CrashUpdate(boolean complete, List<CrashReport> reports) implements FleetMessage {

  /** Copies the list. */
  public CrashUpdate {
    reports = List.copyOf(reports);
  }
}
