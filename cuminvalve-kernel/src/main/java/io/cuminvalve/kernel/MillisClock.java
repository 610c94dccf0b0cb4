package io.cuminvalve.kernel;

/**
 * A monotonic clock in milliseconds that gives a lower and an upper bound of elapsed time.
 *
 * <p>Only readings of the same clock can be compared or subtracted. Readings of two clocks cannot,
 * even on the same host: the origin is arbitrary and rates differ.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MillisClock {

  /**
   * Returns the current reading. The difference of two readings is a lower bound of the elapsed
   * time: the clock stops while the host is suspended, and does not depend on the wall clock.
   *
   * @return milliseconds since an arbitrary origin; never decreases
   */
  long nowMs();

  /**
   * Returns a reading whose difference to an earlier one is an upper bound of the elapsed time.
   *
   * @return the same value as {@link #nowMs} if the clock cannot detect suspensions; never null
   */
  default UpperTime upper() {
    return new UpperTime(nowMs());
  }

  /**
   * Returns the clock of this process, which does not detect suspensions.
   *
   * @return a clock that reads {@link System#nanoTime()}
   */
  static MillisClock system() {
    return () -> System.nanoTime() / 1_000_000L;
  }
}
