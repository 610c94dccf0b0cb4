package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;

/**
 * A message that concerns the whole fleet rather than a single cell.
 *
 * @since 0.2
 */
public interface FleetMessage extends PeerMessage {

  /** Pseudo cell id that represents all cells. */
  CellId FLEET = new CellId("fleet");

  @Override
  default CellId cell() {
    return FLEET;
  }
}
