package io.cuminvalve.ports.store;

/**
 * The outcome of a call to the store.
 *
 * @since 0.1
 */
public enum StoreOutcome {
  /** The store responded that the call succeeded. */
  DONE,
  /** The store responded that the key has another revision; nothing was written. */
  CONFLICT,
  /** A write was sent without a response: it may have taken effect. Resolve by reading back. */
  UNKNOWN,
  /** The store is unreachable or failed before any effect; for reads, no response arrived. */
  UNAVAILABLE
}
