package io.cuminvalve.kernel;

import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * A monotonic clock whose upper bound includes the time for which the host was suspended.
 *
 * <p>The monotonic clock of a process stops while its host is suspended, the wall clock does not.
 * If the wall clock gains more on the monotonic clock than drift between two readings can explain,
 * the host may have been suspended, and the gain is added to the upper bound. Setting the wall
 * clock forward has the same effect: what this process holds or knows expires earlier than
 * necessary, which costs a renewal, but nothing of another process expires early. Backward steps
 * are not subtracted. Thread-safe.
 *
 * @since 0.2
 */
public final class SuspensionClock implements MillisClock {

  /** Exceeds any single correction by a time service; below the clock error any lease tolerates. */
  static final long SUSPENSION_THRESHOLD_MS = 100;

  /**
   * If the monotonic readings before and after a wall clock reading are further apart than this,
   * the wall clock reading cannot be compared with them.
   */
  private static final long MAX_READING_GAP_MS = 5;

  private static final int MAX_READ_ATTEMPTS = 3;

  private final LongSupplier monotonicMs;
  private final LongSupplier wallClockMs;
  private final LongConsumer onSuspended;
  private long wallClockOffsetMs;
  private long suspendedMs;

  /**
   * Creates a clock that reads the clocks of the system.
   *
   * @param onSuspended called with the duration of each suspension in milliseconds, on the thread
   *     that reads the upper bound first after it; must not block; not null
   * @return never null
   */
  public static SuspensionClock system(LongConsumer onSuspended) {
    return new SuspensionClock(MillisClock.system()::nowMs, System::currentTimeMillis, onSuspended);
  }

  /**
   * Creates a clock.
   *
   * @param monotonicMs a clock that never decreases and stops during a suspension; not null
   * @param wallClockMs a clock that runs during a suspension; it may be set; not null
   * @param onSuspended called with the duration of each suspension in milliseconds; not null
   */
  public SuspensionClock(
      LongSupplier monotonicMs, LongSupplier wallClockMs, LongConsumer onSuspended) {
    this.monotonicMs = monotonicMs;
    this.wallClockMs = wallClockMs;
    this.onSuspended = onSuspended;
    this.wallClockOffsetMs = wallClockMs.getAsLong() - monotonicMs.getAsLong();
  }

  @Override
  public long nowMs() {
    return monotonicMs.getAsLong();
  }

  @Override
  public synchronized UpperTime upper() {
    return new UpperTime(readUpperMs());
  }

  private long readUpperMs() {
    long beforeMs = monotonicMs.getAsLong();
    for (int i = 0; i < MAX_READ_ATTEMPTS; i++) {
      long wallMs = wallClockMs.getAsLong();
      long afterMs = monotonicMs.getAsLong();
      if (afterMs - beforeMs <= MAX_READING_GAP_MS) {
        detectSuspension(wallMs - afterMs);
        return afterMs + suspendedMs;
      }
      beforeMs = afterMs;
    }
    return beforeMs + suspendedMs;
  }

  private void detectSuspension(long nextOffsetMs) {
    long gainedMs = nextOffsetMs - wallClockOffsetMs;
    wallClockOffsetMs = nextOffsetMs;
    if (gainedMs > SUSPENSION_THRESHOLD_MS) {
      suspendedMs += gainedMs;
      onSuspended.accept(gainedMs);
    }
  }

  /**
   * Returns the total duration of all detected suspensions.
   *
   * @return milliseconds; at least 0
   */
  public synchronized long suspendedMs() {
    return suspendedMs;
  }
}
