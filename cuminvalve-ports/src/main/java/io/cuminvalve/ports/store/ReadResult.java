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

  /**
   * Returns what a watch that goes on from a revision would tell of the same state.
   *
   * @param afterRevision the newest revision that is known already
   * @return never null
   */
  public WatchResult toWatchResult(long afterRevision) {
    if (!isDone()) {
      return new WatchResult(WatchResult.Event.UNAVAILABLE, Optional.empty());
    }
    if (value.isEmpty()) {
      return new WatchResult(WatchResult.Event.ABSENT, Optional.empty());
    }
    boolean isNews = value.get().revision() > afterRevision;
    return isNews
        ? new WatchResult(WatchResult.Event.CHANGED, value)
        : new WatchResult(WatchResult.Event.UNCHANGED, Optional.empty());
  }
}
