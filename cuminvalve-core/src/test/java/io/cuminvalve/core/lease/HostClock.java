package io.cuminvalve.core.lease;

import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.SuspensionClock;
import io.cuminvalve.kernel.UpperTime;

/** The clock of one host over virtual time: its time of day is set, and it is suspended. */
final class HostClock implements MillisClock {

  private final VirtualTime time;
  private final SuspensionClock clock;
  private long offsetMs;
  private long suspendedMs;
  private long sleepsSinceMs;
  private long sleepsUntilMs;
  private boolean clockGained;

  HostClock(VirtualTime time) {
    this.time = time;
    this.clock =
        new SuspensionClock(this::steadyMs, this::timeOfDayMs, forMs -> clockGained = true);
  }

  private long steadyMs() {
    return time.nowMs() - suspendedMs - (isAsleep() ? time.nowMs() - sleepsSinceMs : 0);
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

  /** The time of day is set ahead, or back if it is negative. */
  void setTimeOfDay(long byMs) {
    offsetMs += byMs;
  }

  /** The host stands still from now on. */
  void suspend(long forMs) {
    if (!isAsleep()) {
      sleepsSinceMs = time.nowMs();
      sleepsUntilMs = time.nowMs() + forMs;
      time.schedule(forMs, () -> suspendedMs += forMs);
    }
  }

  boolean isAsleep() {
    return time.nowMs() < sleepsUntilMs;
  }

  /** Runs something now, or when the host wakes up. */
  void runWhenAwake(Runnable action) {
    if (isAsleep()) {
      time.schedule(sleepsUntilMs - time.nowMs(), action);
    } else {
      action.run();
    }
  }

  /** Tells, once, whether the time of day has clockGained: the host may have been suspended. */
  boolean takeClockGain() {
    clock.upper();
    boolean taken = clockGained;
    clockGained = false;
    return taken;
  }
}
