package io.cuminvalve.ports.store;

import java.util.Optional;

/**
 * The result of waiting for a change.
 *
 * <p>A watch may return stale data: the receiver must ignore revisions that it has already seen.
 *
 * @param event how the wait ended; not null
 * @param value the value after CHANGED, else empty; not null
 * @since 0.1
 */
public record WatchResult(WatchResult.Event event, Optional<StoreValue> value) {

  /** How the wait ended. */
  public enum Event {
    /** The key has a newer revision. */
    CHANGED,
    /** The key does not exist. */
    ABSENT,
    /** The wait ended without a change. */
    UNCHANGED,
    /** The store cannot be reached. */
    UNAVAILABLE
  }
}
