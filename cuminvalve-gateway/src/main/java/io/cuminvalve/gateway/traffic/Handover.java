package io.cuminvalve.gateway.traffic;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Decides exactly once whether a request is sent to the target.
 *
 * <p>A thread that tells the caller that its request did not run must be sure that no other thread
 * sends it afterwards. Thread-safe.
 */
final class Handover {

  private enum State {
    OPEN,
    BEGUN,
    PREVENTED
  }

  private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);

  /** Begins sending. Returns false if sending was prevented. */
  boolean begin() {
    return state.compareAndSet(State.OPEN, State.BEGUN) || state.get() == State.BEGUN;
  }

  /** Prevents sending. Returns false if it has already begun. */
  boolean prevent() {
    return state.compareAndSet(State.OPEN, State.PREVENTED) || state.get() == State.PREVENTED;
  }
}
