package io.cuminvalve.core.lease;

import io.cuminvalve.kernel.BootClock;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.SuspensionClock;
import io.cuminvalve.kernel.UpperTime;

/** The clock of a simulated host, whose wall clock can be stepped and which can be suspended. */
final class HostClock implements MillisClock {

  private final VirtualTime time;
  private final SuspensionClock clock;
  private long offsetMs;
  private long suspendedMs;
  private long suspendedFromMs;
  private long suspendedUntilMs;
  private boolean clockGained;

  HostClock(VirtualTime time) {
    this.time = time;
    this.clock =
        new SuspensionClock(
            this::steadyMs,
            this::timeOfDayMs,
            new BootClock(time::nowMs, failure -> {}),
            forMs -> clockGained = true);
  }

  private long steadyMs() {
    return time.nowMs() - suspendedMs - (isSuspended() ? time.nowMs() - suspendedFromMs : 0);
  }

  private long timeOfDayMs() {
    return time.nowMs() + offsetMs;
  }

  @Override
  public long nowMs() {
    return clock.nowMs();
  }

  @Override
  public UpperTime upper() {
    return clock.upper();
  }

  /** Steps the wall clock forward, or back if the step is negative. */
  void stepWallClock(long byMs) {
    offsetMs += byMs;
  }

  /** Suspends the host from now on, unless it is suspended already. */
  void suspend(long forMs) {
    if (!isSuspended()) {
      suspendedFromMs = time.nowMs();
      suspendedUntilMs = time.nowMs() + forMs;
      time.schedule(forMs, () -> suspendedMs += forMs);
    }
  }

  boolean isSuspended() {
    return time.nowMs() < suspendedUntilMs;
  }

  /** Runs an action now, or when the host resumes. */
  void runWhenAwake(Runnable action) {
    if (isSuspended()) {
      time.schedule(suspendedUntilMs - time.nowMs(), action);
    } else {
      action.run();
    }
  }

  /**
   * Returns, once per occurrence, whether the wall clock has gained on the steady clock: the host
   * may have been suspended.
   */
  boolean takeClockGain() {
    clock.upper();
    boolean taken = clockGained;
    clockGained = false;
    return taken;
  }
}
