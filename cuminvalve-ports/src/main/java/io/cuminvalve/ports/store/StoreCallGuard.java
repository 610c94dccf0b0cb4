package io.cuminvalve.ports.store;

import java.util.OptionalLong;

/**
 * Decides whether a call of the store is made, and learns how each one ended.
 *
 * <p>An adapter of the store asks before every call that goes out, pages and repeats included. Safe
 * for use by several threads.
 *
 * @since 0.2
 */
public interface StoreCallGuard {

  /**
   * Asks for a call.
   *
   * @param call what it does; not null
   * @return the number to name when it has ended; empty if it must not be made
   */
  OptionalLong begin(StoreCall call);

  /**
   * A call has ended.
   *
   * @param call what it did; not null
   * @param number what {@link #begin} returned
   * @param end how it ended; not null
   */
  void onEnded(StoreCall call, long number, StoreCallOutcome end);
}
