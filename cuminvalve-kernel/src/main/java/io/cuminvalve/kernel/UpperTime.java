package io.cuminvalve.kernel;

/**
 * A clock reading whose difference to an earlier one is an upper bound of the elapsed time.
 *
 * <p>Used for what a process must not rely on for too long: its own leases and the freshness of its
 * data. To wait until something of another process has expired, use {@link MillisClock#nowMs}
 * instead. The separate type prevents mixing up the two.
 *
 * @param ms milliseconds since an arbitrary origin, the same for all readings of one clock
 * @since 0.2
 */
public record UpperTime(long ms) implements Comparable<UpperTime> {

  /** A value earlier than any reading. */
  public static final UpperTime NEVER = new UpperTime(Long.MIN_VALUE / 2);

  /**
   * Returns an upper bound of the time elapsed since an earlier reading.
   *
   * @param earlier the earlier reading; not null
   * @return milliseconds
   */
  public long sinceMs(UpperTime earlier) {
    return ms - earlier.ms;
  }

  /**
   * Returns this reading moved back by some time.
   *
   * @param ageMs the time to subtract; milliseconds
   * @return never null
   */
  public UpperTime minusMs(long ageMs) {
    return new UpperTime(ms - ageMs);
  }

  /**
   * Returns this reading moved forward by some time.
   *
   * @param durationMs the time to add; milliseconds
   * @return never null
   */
  public UpperTime plusMs(long durationMs) {
    return new UpperTime(ms + durationMs);
  }

  /**
   * Returns the later of two readings.
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
