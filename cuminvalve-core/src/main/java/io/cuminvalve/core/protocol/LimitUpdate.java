package io.cuminvalve.core.protocol;

import io.cuminvalve.core.quota.LimitReport;
import java.util.List;

/**
 * Exchanges limit reports between any two processes: the targets that have announced or lifted a
 * rate limit.
 *
 * @param complete whether these are all limits known to the sender, so that the receiver can detect
 *     and send what the sender is missing
 * @param reports the reports; not null
 * @since 0.2
 */
public record LimitUpdate(boolean complete, List<LimitReport> reports) implements FleetMessage {

  /** Copies the list. */
  public LimitUpdate {
    reports = List.copyOf(reports);
  }
}
