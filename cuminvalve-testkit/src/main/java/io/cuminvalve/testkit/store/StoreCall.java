package io.cuminvalve.testkit.store;

/**
 * The kinds of calls that the store counts.
 *
 * @since 0.1
 */
public enum StoreCall {
  /** A linearizable read. */
  GET,
  /** A compare-and-swap. */
  PUT,
  /** A conditional removal. */
  DELETE,
  /** A wait for a newer revision. */
  WATCH,
  /** The creation of a lease. */
  LEASE_CREATE,
  /** The renewal of a lease. */
  LEASE_KEEPALIVE,
  /** The end of a lease. */
  LEASE_END
}
