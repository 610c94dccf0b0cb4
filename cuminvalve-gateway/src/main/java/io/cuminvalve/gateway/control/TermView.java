package io.cuminvalve.gateway.control;

import io.cuminvalve.kernel.UpperTime;

/** The newest term that this process knows. Confined to the control thread. */
interface TermView {

  /**
   * Processes the term reported by another gateway.
   *
   * @param term the number of the reported term; 0 if that gateway knows none
   * @param holderAddress the peer address of the holder; empty if unknown; not null
   * @param at when the store confirmed the term; not null
   * @return whether the reported term is at least the newest known one
   */
  boolean onHeard(long term, String holderAddress, UpperTime at);

  /** Returns the number of the newest known term; 0 if none is known. */
  long newest();

  /** Returns the time since the newest term was last confirmed; milliseconds. */
  long ageMs();
}
