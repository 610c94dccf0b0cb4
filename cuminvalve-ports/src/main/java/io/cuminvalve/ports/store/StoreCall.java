package io.cuminvalve.ports.store;

import java.util.Locale;

/**
 * The kinds of calls to the store.
 *
 * @since 0.2
 */
public enum StoreCall {
  /** Linearizable read of one key. */
  READ,
  /** Read of one key whose result may be stale. */
  READ_STALE,
  /** Linearizable read of one page of keys. */
  LIST,
  /** Read of one page of keys whose result may be stale. */
  LIST_STALE,
  /** Wait for a change. */
  WATCH,
  /** Conditional write or deletion of a key. */
  WRITE,
  /** Creation of a lease. */
  LEASE_CREATE,
  /** Renewal of a lease. */
  LEASE_KEEP,
  /** End of a lease. */
  LEASE_END;

  /**
   * Returns the label value in metrics.
   *
   * @return never null
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
