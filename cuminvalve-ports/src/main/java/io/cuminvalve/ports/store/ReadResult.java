package io.cuminvalve.ports.store;

import java.util.Optional;

/**
 * The result of a read.
 *
 * @param outcome DONE or UNAVAILABLE; not null
 * @param value the value; empty if the key does not exist or the outcome is not DONE; not null
 * @since 0.1
 */
public record ReadResult(StoreOutcome outcome, Optional<StoreValue> value) {

  /**
   * Returns whether the store responded.
   *
   * @return true if {@link #value()} is the stored state
   */
  public boolean isDone() {
    return outcome == StoreOutcome.DONE;
  }

  /**
   * Returns the result that a watch after a given revision would have for the same state.
   *
   * @param afterRevision the newest known revision
   * @return never null
   */
  public WatchResult toWatchResult(long afterRevision) {
    if (!isDone()) {
      return new WatchResult(WatchResult.Event.UNAVAILABLE, Optional.empty());
    }
    if (value.isEmpty()) {
      return new WatchResult(WatchResult.Event.ABSENT, Optional.empty());
    }
    boolean isNewer = value.get().revision() > afterRevision;
    return isNewer
        ? new WatchResult(WatchResult.Event.CHANGED, value)
        : new WatchResult(WatchResult.Event.UNCHANGED, Optional.empty());
  }
}
