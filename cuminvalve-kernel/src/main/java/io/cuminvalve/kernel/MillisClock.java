package io.cuminvalve.kernel;

/**
 * A monotonic clock in milliseconds, with two bounds on the time that has passed.
 *
 * <p>Readings of one clock may be compared and subtracted. Readings of two clocks may not, even
 * when both belong to the same host: the origin is arbitrary and rates differ.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MillisClock {

  /**
   * Returns the current reading. Between two readings no more is counted than has really passed: it
   * stands still while the host is suspended, and the time of day has no part in it.
   *
   * @return milliseconds since an arbitrary origin; never decreases
   */
  long nowMs();

  /**
   * Returns a reading between two of which no less is counted than has really passed.
   *
   * @return the same as {@link #nowMs} where suspensions are not noticed; never null
   */
  default UpperTime upper() {
    return new UpperTime(nowMs());
  }

  /**
   * Returns the clock of this process, which does not notice suspensions.
   *
   * @return a clock that reads {@link System#nanoTime()}
   */
  static MillisClock system() {
    return () -> System.nanoTime() / 1_000_000L;
  }
}
