package io.cuminvalve.gateway.control;

import io.cuminvalve.kernel.UpperTime;

/** What this process knows of the term. For the control thread. */
interface TermView {

  /**
   * Hears from another gateway who holds the term.
   *
   * @param term its number; 0 if that gateway knows none
   * @param holderAddress where gateways reach the holder; empty if unknown; not null
   * @param at when the store confirmed it; not null
   * @return whether it is no earlier term than the one known
   */
  boolean onHeard(long term, String holderAddress, UpperTime at);

  /** Returns the number of the newest term known; 0 if there is none. */
  long newest();

  /** Returns how old the knowledge is that it is not over; milliseconds. */
  long ageMs();
}
