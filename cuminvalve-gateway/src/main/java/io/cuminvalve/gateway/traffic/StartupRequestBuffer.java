package io.cuminvalve.gateway.traffic;

import io.cuminvalve.router.request.Timers;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds requests that arrive before the first configuration, for a moment.
 *
 * <p>A process that starts listens some 150 ms before it knows a configuration. Callers that are
 * refused meanwhile use up one of the few repeats that they make. Safe for use by several threads.
 */
final class StartupRequestBuffer {

  /** A store that answers has told the configuration by then; longer waits help nobody. */
  private static final long HOLD_MS = 200;

  /** More than a fleet of callers sends in that time to one process. */
  private static final int MOST_HELD = 256;

  private final Timers timers;
  private List<Held> waiting = new ArrayList<>();
  private boolean known;

  StartupRequestBuffer(Timers timers) {
    this.timers = timers;
  }

  /**
   * Holds a request unless the configuration is known, or too many wait.
   *
   * @param go called once the configuration is known; not null
   * @param giveUp called instead if that takes too long; not null
   * @return whether exactly one of the two will be called
   */
  boolean hold(Runnable go, Runnable giveUp) {
    Held held = new Held(go, giveUp);
    synchronized (this) {
      if (known || waiting.size() >= MOST_HELD) {
        return false;
      }
      waiting.add(held);
    }
    timers.schedule(() -> giveUp(held), HOLD_MS);
    return true;
  }

  private void giveUp(Held held) {
    boolean waited;
    synchronized (this) {
      waited = waiting.remove(held);
    }
    if (waited) {
      held.giveUp.run();
    }
  }

  /** The configuration is known. */
  void onConfiguration() {
    List<Held> released;
    synchronized (this) {
      known = true;
      released = waiting;
      waiting = new ArrayList<>();
    }
    released.forEach(held -> timers.schedule(held.go, 0));
  }

  /** One request that waits; told apart by identity. */
  private static final class Held {

    private final Runnable go;
    private final Runnable giveUp;

    Held(Runnable go, Runnable giveUp) {
      this.go = go;
      this.giveUp = giveUp;
    }
  }
}
