package io.cuminvalve.kernel;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * A monotonic clock whose upper bound also counts the time for which the host was suspended.
 *
 * <p>The steady clock of a process stands still while its host is suspended, the time of day does
 * not. So when the time of day gains on the steady clock by more than it ever drifts between two
 * readings, the host may have been suspended, and the upper bound goes on from the later moment. An
 * operator who sets the time of day ahead looks the same: what this process believes ends sooner
 * than it need, which costs a renewal, and nothing of others does. Steps back are not taken off
 * again. Safe for use by several threads.
 *
 * @since 0.2
 */
public final class SuspensionClock implements MillisClock {

  /** More than a time service corrects at a time, less than any lease bears to be wrong by. */
  static final long SUSPENDED_MS = 100;

  /** Two readings of the steady clock so far apart say nothing of one in between. */
  private static final long READING_MS = 5;

  private static final int MOST_READINGS = 3;

  private final LongSupplier steadyMs;
  private final LongSupplier timeOfDayMs;
  private final LongConsumer onSuspended;
  private long gapMs;
  private long suspendedMs;

  /**
   * Creates a clock on those of the system.
   *
   * @param onSuspended hears for how long the host was suspended, on the thread that reads the
   *     upper bound first; must not block; milliseconds; not null
   * @return never null
   */
  public static SuspensionClock system(LongConsumer onSuspended) {
    return new SuspensionClock(MillisClock.system()::nowMs, System::currentTimeMillis, onSuspended);
  }

  /**
   * Creates a clock.
   *
   * @param steadyMs a clock that never decreases and stands still during a suspension; not null
   * @param timeOfDayMs a clock that goes on; it may be set; not null
   * @param onSuspended hears for how long the host was suspended; milliseconds; not null
   */
  public SuspensionClock(
      LongSupplier steadyMs, LongSupplier timeOfDayMs, LongConsumer onSuspended) {
    this.steadyMs = steadyMs;
    this.timeOfDayMs = timeOfDayMs;
    this.onSuspended = onSuspended;
    this.gapMs = timeOfDayMs.getAsLong() - steadyMs.getAsLong();
  }

  @Override
  public long nowMs() {
    return steadyMs.getAsLong();
  }

  @Override
  public synchronized UpperTime upper() {
    return new UpperTime(readUpperMs());
  }

  private long readUpperMs() {
    long beforeMs = steadyMs.getAsLong();
    for (int i = 0; i < MOST_READINGS; i++) {
      long wallMs = timeOfDayMs.getAsLong();
      long afterMs = steadyMs.getAsLong();
      if (afterMs - beforeMs <= READING_MS) {
        compare(wallMs - afterMs);
        return afterMs + suspendedMs;
      }
      beforeMs = afterMs;
    }
    return beforeMs + suspendedMs;
  }

  private void compare(long nextGapMs) {
    long gainedMs = nextGapMs - gapMs;
    gapMs = nextGapMs;
    if (gainedMs > SUSPENDED_MS) {
      suspendedMs += gainedMs;
      onSuspended.accept(gainedMs);
    }
  }

  /**
   * Returns for how long the host was suspended, in all, as far as is known.
   *
   * @return at least 0; milliseconds
   */
  public synchronized long suspendedMs() {
    return suspendedMs;
  }
}
