package io.cuminvalve.kernel;

/**
 * A reading of a clock that counts at least the time that has really passed.
 *
 * <p>For whatever a process must not believe for too long: that it holds a lease, that what it
 * knows is fresh. Whoever waits until something of others is over uses {@link MillisClock#nowMs}
 * instead. The two are types of their own, so that one cannot stand for the other.
 *
 * @param ms milliseconds since an arbitrary origin, the same for all readings of one clock
 * @since 0.2
 */
public record UpperTime(long ms) implements Comparable<UpperTime> {

  /** Earlier than any reading. */
  public static final UpperTime NEVER = new UpperTime(Long.MIN_VALUE / 2);

  /**
   * Returns the time since an earlier reading, or more.
   *
   * @param earlier the earlier reading; not null
   * @return milliseconds
   */
  public long sinceMs(UpperTime earlier) {
    return ms - earlier.ms;
  }

  /**
   * Returns the reading of some time ago.
   *
   * @param ageMs how long ago; milliseconds
   * @return never null
   */
  public UpperTime minusMs(long ageMs) {
    return new UpperTime(ms - ageMs);
  }

  /**
   * Returns the reading after some time.
   *
   * @param forMs after how long; milliseconds
   * @return never null
   */
  public UpperTime plusMs(long forMs) {
    return new UpperTime(ms + forMs);
  }

  /**
   * Returns the later one of two readings.
   *
   * @param other the other reading; not null
   * @return never null
   */
  public UpperTime latest(UpperTime other) {
    return compareTo(other) >= 0 ? this : other;
  }

  @Override
  public int compareTo(UpperTime other) {
    return Long.compare(ms, other.ms);
  }
}
