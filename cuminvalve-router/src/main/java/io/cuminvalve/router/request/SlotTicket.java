package io.cuminvalve.router.request;

import io.cuminvalve.core.request.SlotUse;

/**
 * Stands for one attempt that asked for a slot.
 *
 * @since 0.1
 */
public interface SlotTicket {

  /** Gives up waiting. A slot that was granted meanwhile still has to be released. */
  void withdraw();

  /**
   * Returns the slot.
   *
   * @param use how it was used; not null
   */
  void release(SlotUse use);
}
