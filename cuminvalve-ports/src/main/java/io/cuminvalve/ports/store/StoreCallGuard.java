package io.cuminvalve.ports.store;

import java.util.OptionalLong;

/**
 * Decides whether a call to the store is made, and is notified of the outcome of each call.
 *
 * <p>A store adapter asks before every outgoing call, including further pages and retries.
 * Thread-safe.
 *
 * @since 0.2
 */
public interface StoreCallGuard {

  /**
   * Asks for permission to make a call.
   *
   * @param call the kind of call; not null
   * @return the number to pass to {@link #onEnded}; empty if the call must not be made
   */
  OptionalLong begin(StoreCall call);

  /**
   * Called when a call has ended.
   *
   * @param call the kind of call; not null
   * @param number the number that {@link #begin} returned
   * @param end how it ended; not null
   */
  void onEnded(StoreCall call, long number, StoreCallOutcome end);
}
