package io.cuminvalve.gateway.traffic;

import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import java.util.Optional;

/**
 * Whether this process is stopping, and since when. Thread-safe.
 *
 * @since 0.2
 */
public final class StopProgress {

  private final MillisClock clock;
  private volatile Optional<UpperTime> began = Optional.empty();

  /**
   * Creates the progress of a process that is not stopping.
   *
   * @param clock the time; not null
   */
  public StopProgress(MillisClock clock) {
    this.clock = clock;
  }

  /** Begins the stop. */
  public void begin() {
    began = Optional.of(clock.upper());
  }

  /**
   * Returns whether the stop has begun.
   *
   * @return true from the begin of the stop on
   */
  public boolean isStopping() {
    return began.isPresent();
  }

  /**
   * Returns the time since the begin of the stop.
   *
   * @return milliseconds; 0 if it has not begun
   */
  public long sinceMs() {
    return began.map(since -> clock.upper().sinceMs(since)).orElse(0L);
  }
}
