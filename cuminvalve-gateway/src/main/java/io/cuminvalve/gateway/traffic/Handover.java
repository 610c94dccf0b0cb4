package io.cuminvalve.gateway.traffic;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Settles once whether the bytes of an attempt go to the target.
 *
 * <p>Whoever tells a caller that its request did not run has to rule out that another thread hands
 * it over a moment later. Safe for use by several threads.
 */
final class Handover {

  private enum State {
    OPEN,
    BEGUN,
    PREVENTED
  }

  private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);

  /** Claims that the first byte is about to be written. Tells whether it may be. */
  boolean begin() {
    return state.compareAndSet(State.OPEN, State.BEGUN) || state.get() == State.BEGUN;
  }

  /** Makes sure that no byte is ever written. Tells whether that still was possible. */
  boolean prevent() {
    return state.compareAndSet(State.OPEN, State.PREVENTED) || state.get() == State.PREVENTED;
  }
}
