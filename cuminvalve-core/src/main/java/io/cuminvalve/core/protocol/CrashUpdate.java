package io.cuminvalve.core.protocol;

import io.cuminvalve.core.quarantine.CrashReport;
import java.util.List;

/**
 * Sent between any two processes: under which requests targets ended.
 *
 * @param complete whether these are all requests that the sender watches, so that the receiver can
 *     tell what it lacks
 * @param reports what the sender knows; not null
 * @since 0.2
 */
public record CrashUpdate(boolean complete, List<CrashReport> reports) implements FleetMessage {

  /** Copies the list. */
  public CrashUpdate {
    reports = List.copyOf(reports);
  }
}
