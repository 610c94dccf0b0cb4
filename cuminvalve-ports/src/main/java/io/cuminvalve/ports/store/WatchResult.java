package io.cuminvalve.ports.store;

import java.util.Optional;

/**
 * The end of one wait for a change.
 *
 * <p>A watch may show old data: a receiver ignores revisions that it has passed already.
 *
 * @param event how the wait ended; not null
 * @param value the value after CHANGED, else empty; not null
 * @since 0.1
 */
public record WatchResult(WatchResult.Event event, Optional<StoreValue> value) {

  /** How a wait ended. */
  public enum Event {
    /** The key has a newer revision. */
    CHANGED,
    /** The key does not exist. */
    ABSENT,
    /** The time is over without a change. */
    UNCHANGED,
    /** The store cannot be reached. */
    UNAVAILABLE
  }
}
