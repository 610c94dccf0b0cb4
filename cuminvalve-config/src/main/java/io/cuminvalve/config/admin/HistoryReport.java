package io.cuminvalve.config.admin;

import java.util.List;

/**
 * The last changes that a controller remembers.
 *
 * @param changes newest first; not null, copied
 * @since 0.1
 */
public record HistoryReport(List<ChangeRecord> changes) {

  /** Copies the list. */
  public HistoryReport {
    changes = List.copyOf(changes);
  }
}
