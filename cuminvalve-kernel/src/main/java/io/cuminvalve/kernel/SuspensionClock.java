package io.cuminvalve.kernel;

import java.util.OptionalLong;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * A monotonic clock whose upper bound includes the time for which the host was suspended.
 *
 * <p>The monotonic clock of a process stops while its host is suspended, the boot clock and the
 * wall clock do not. What they gain on the monotonic clock from one reading to the next is added to
 * the upper bound; if both gain, the greater gain counts.
 *
 * <ul>
 *   <li>The boot clock cannot be set, so it shows every suspension, even if the wall clock is set
 *       back meanwhile. Not every host provides it.
 *   <li>The wall clock is all that is left without it. It also shows a pause of a virtual machine
 *       that stops the boot clock, once the time is corrected. Setting it forward has the same
 *       effect as a suspension: what this process holds or knows expires earlier than necessary,
 *       which costs a renewal, but nothing of another process expires early. Backward steps are not
 *       subtracted.
 * </ul>
 *
 * <p>Thread-safe.
 *
 * @since 0.2
 */
public final class SuspensionClock implements MillisClock {

  /** Exceeds any single correction by a time service; below the clock error any lease tolerates. */
  static final long SUSPENSION_THRESHOLD_MS = 100;

  /**
   * If the monotonic readings before and after readings of the other clocks are further apart than
   * this, the clocks cannot be compared.
   */
  private static final long MAX_READING_GAP_MS = 5;

  private static final int MAX_READ_ATTEMPTS = 3;

  private final LongSupplier monotonicMs;
  private final LongSupplier wallClockMs;
  private final BootClock bootClock;
  private final LongConsumer onSuspended;
  private long wallClockOffsetMs;
  private long bootClockOffsetMs;
  private long suspendedMs;

  /**
   * Creates a clock that reads the monotonic clock and the wall clock of the system.
   *
   * @param bootClock the boot clock of the system; not null
   * @param onSuspended called with the duration of each suspension in milliseconds, on the thread
   *     that reads the upper bound first after it; must not block; not null
   * @return never null
   */
  public static SuspensionClock system(BootClock bootClock, LongConsumer onSuspended) {
    return new SuspensionClock(
        MillisClock.system()::nowMs, System::currentTimeMillis, bootClock, onSuspended);
  }

  /**
   * Creates a clock.
   *
   * @param monotonicMs a clock that never decreases and stops during a suspension; not null
   * @param wallClockMs a clock that runs during a suspension; it may be set; not null
   * @param bootClock a clock that runs during a suspension and cannot be set; may be unavailable;
   *     not null
   * @param onSuspended called with the duration of each suspension in milliseconds; not null
   */
  public SuspensionClock(
      LongSupplier monotonicMs,
      LongSupplier wallClockMs,
      BootClock bootClock,
      LongConsumer onSuspended) {
    this.monotonicMs = monotonicMs;
    this.wallClockMs = wallClockMs;
    this.bootClock = bootClock;
    this.onSuspended = onSuspended;
    this.wallClockOffsetMs = wallClockMs.getAsLong() - monotonicMs.getAsLong();
    // An unavailable clock stays unavailable, so its offset is never used.
    this.bootClockOffsetMs = bootClock.readMs().orElse(0) - monotonicMs.getAsLong();
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
      OptionalLong bootMs = bootClock.readMs();
      long afterMs = monotonicMs.getAsLong();
      if (afterMs - beforeMs <= MAX_READING_GAP_MS) {
        detectSuspension(wallMs, bootMs, afterMs);
        return afterMs + suspendedMs;
      }
      beforeMs = afterMs;
    }
    return beforeMs + suspendedMs;
  }

  private void detectSuspension(long wallMs, OptionalLong bootMs, long nowMs) {
    long gainedMs = takeWallClockGainMs(wallMs - nowMs);
    if (bootMs.isPresent()) {
      gainedMs = Math.max(gainedMs, takeBootClockGainMs(bootMs.getAsLong() - nowMs));
    }
    if (gainedMs > SUSPENSION_THRESHOLD_MS) {
      suspendedMs += gainedMs;
      onSuspended.accept(gainedMs);
    }
  }

  /** Gains below the threshold are dropped: they are drift. */
  private long takeWallClockGainMs(long nextOffsetMs) {
    long gainedMs = nextOffsetMs - wallClockOffsetMs;
    wallClockOffsetMs = nextOffsetMs;
    return gainedMs;
  }

  /** Gains below the threshold add up: the clock has no drift, so they are short suspensions. */
  private long takeBootClockGainMs(long nextOffsetMs) {
    long gainedMs = nextOffsetMs - bootClockOffsetMs;
    if (gainedMs > SUSPENSION_THRESHOLD_MS) {
      bootClockOffsetMs = nextOffsetMs;
    } else if (gainedMs < -SUSPENSION_THRESHOLD_MS) {
      bootClock.fail("boot clock fell behind the monotonic clock by " + -gainedMs + " ms");
    }
    return gainedMs;
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
