package io.cuminvalve.ports.store;

import java.util.Optional;

/**
 * The end of a read.
 *
 * @param outcome DONE or UNAVAILABLE; not null
 * @param value the value; empty if the key does not exist or the read is not done; not null
 * @since 0.1
 */
public record ReadResult(StoreOutcome outcome, Optional<StoreValue> value) {

  /**
   * Tells whether the store answered.
   *
   * @return true if {@link #value()} is what the store holds
   */
  public boolean isDone() {
    return outcome == StoreOutcome.DONE;
  }
}
