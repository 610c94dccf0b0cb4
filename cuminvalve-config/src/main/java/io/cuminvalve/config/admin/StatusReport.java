package io.cuminvalve.config.admin;

import io.cuminvalve.core.id.ControllerId;
import java.util.List;

/**
 * What one controller knows.
 *
 * @param controller the controller that answers; not null
 * @param cells what it knows of each cell; not null, copied
 * @since 0.1
 */
public record StatusReport(ControllerId controller, List<CellStatus> cells) {

  /** Copies the list. */
  public StatusReport {
    cells = List.copyOf(cells);
  }
}
