package io.cuminvalve.router.request;

import io.cuminvalve.core.verdict.RefusalReason;

/**
 * Hears whether an attempt got a slot. Exactly one method is called, once, from any thread.
 *
 * @since 0.1
 */
public interface SlotListener {

  /**
   * The attempt may be sent.
   *
   * @param slot the slot, to be returned through the ticket; not null
   */
  void onAdmitted(Slot slot);

  /**
   * The attempt gets no slot.
   *
   * @param reason why; not null
   * @param retryAfterMs when to come back; milliseconds
   */
  void onRefused(RefusalReason reason, long retryAfterMs);
}
