package io.cuminvalve.ports.store;

import java.util.Locale;

/**
 * The kinds of calls that the store is asked.
 *
 * @since 0.2
 */
public enum StoreCall {
  /** Reads one key, linearizably. */
  READ,
  /** Reads one key where an old answer does. */
  READ_STALE,
  /** Reads one page of keys, linearizably. */
  LIST,
  /** Reads one page of keys where an old answer does. */
  LIST_STALE,
  /** Waits for a change. */
  WATCH,
  /** Writes or deletes a key on a condition. */
  WRITE,
  /** Creates a lease. */
  LEASE_CREATE,
  /** Renews a lease. */
  LEASE_KEEP,
  /** Ends a lease. */
  LEASE_END;

  /**
   * Returns the name in metrics.
   *
   * @return never null
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
