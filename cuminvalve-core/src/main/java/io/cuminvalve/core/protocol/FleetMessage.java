package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;

/**
 * A message that concerns the whole fleet and no single cell.
 *
 * @since 0.2
 */
public interface FleetMessage extends PeerMessage {

  /** Stands for all cells. */
  CellId FLEET = new CellId("fleet");

  @Override
  default CellId cell() {
    return FLEET;
  }
}
