package io.cuminvalve.ports.store;

import java.util.Locale;

/**
 * How a call of the store ended on the wire.
 *
 * @since 0.2
 */
public enum StoreCallOutcome {
  /** The store answered the question, whatever the answer says. */
  ANSWERED,
  /** The store turned the call away. */
  REFUSED,
  /** The connection was refused or broke. */
  BROKEN,
  /** No answer came in time. */
  SILENT,
  /** The call was not made, since the store had turned away or failed those before. */
  HELD_BACK;

  /**
   * Returns the name in metrics.
   *
   * @return never null
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
