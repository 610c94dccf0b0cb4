package io.cuminvalve.ports.store;

import java.util.Locale;

/**
 * How a call to the store ended at the transport level.
 *
 * @since 0.2
 */
public enum StoreCallOutcome {
  /** The store responded, whatever the response says. */
  ANSWERED,
  /** The store rejected the call. */
  REFUSED,
  /** The connection was refused or broke. */
  BROKEN,
  /** No response arrived in time. */
  SILENT,
  /** The call was not made because the store had rejected or failed earlier calls. */
  HELD_BACK;

  /**
   * Returns the label value in metrics.
   *
   * @return never null
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
