package io.cuminvalve.gateway.traffic;

import io.cuminvalve.router.request.Timers;
import java.util.ArrayList;
import java.util.List;

/**
 * Briefly holds requests that arrive before the first configuration.
 *
 * <p>A starting process listens some 150 ms before it has a configuration. A caller that is refused
 * in that time uses up one of its few retries. Thread-safe.
 */
final class StartupRequestBuffer {

  /** An available store delivers the configuration in this time, so a longer wait does not help. */
  private static final long HOLD_MS = 200;

  /** More than a fleet of callers sends to one process in that time. */
  private static final int MAX_HELD = 256;

  private final Timers timers;
  private List<Held> waiting = new ArrayList<>();
  private boolean configured;

  StartupRequestBuffer(Timers timers) {
    this.timers = timers;
  }

  /**
   * Holds a request unless the configuration is known or the buffer is full.
   *
   * @param resume called once the configuration is known; not null
   * @param giveUp called instead if that takes too long; not null
   * @return true if the request is held and exactly one of the two will be called
   */
  boolean hold(Runnable resume, Runnable giveUp) {
    Held held = new Held(resume, giveUp);
    synchronized (this) {
      if (configured || waiting.size() >= MAX_HELD) {
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

  /** Resumes all held requests, since the configuration is known. */
  void onConfiguration() {
    List<Held> released;
    synchronized (this) {
      configured = true;
      released = waiting;
      waiting = new ArrayList<>();
    }
    released.forEach(held -> timers.schedule(held.resume, 0));
  }

  /** A held request; compared by identity. */
  private static final class Held {

    private final Runnable resume;
    private final Runnable giveUp;

    Held(Runnable resume, Runnable giveUp) {
      this.resume = resume;
      this.giveUp = giveUp;
    }
  }
}
