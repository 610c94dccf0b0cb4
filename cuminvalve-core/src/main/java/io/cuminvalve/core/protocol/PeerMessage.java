package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;

/**
 * A message between two cuminvalve processes.
 *
 * <p>Every message is a record whose components are ids, numbers, strings, enums, lists, primitive
 * arrays or records of these, so that a single codec handles all types. The order of the components
 * defines the wire format; new components may only be appended.
 *
 * @since 0.1
 */
public interface PeerMessage {

  /**
   * Returns the cell to which the message belongs.
   *
   * @return never null
   */
  CellId cell();
}
