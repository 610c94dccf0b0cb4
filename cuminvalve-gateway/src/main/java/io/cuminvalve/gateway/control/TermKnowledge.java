package io.cuminvalve.gateway.control;

/** What this process knows of the term. For the control thread. */
interface TermKnowledge {

  /**
   * Hears from another gateway who holds the term.
   *
   * @param term its number; 0 if that gateway knows none
   * @param holderAddress where gateways reach the holder; empty if unknown; not null
   * @param atMs when the store confirmed it; a time of the clock; milliseconds
   * @return whether it is no earlier term than the one known
   */
  boolean onHeard(long term, String holderAddress, long atMs);

  /** Returns the number of the newest term known; 0 if there is none. */
  long newest();

  /** Returns how old the knowledge is that it is not over; milliseconds. */
  long ageMs();
}
