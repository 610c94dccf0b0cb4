package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.stop.StopPolicy;
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
  private final StopPolicy policy;
  private volatile Optional<UpperTime> began = Optional.empty();

  /**
   * Creates the progress of a process that is not stopping.
   *
   * @param clock the time; not null
   * @param policy decides which requests are still taken; not null
   */
  public StopProgress(MillisClock clock, StopPolicy policy) {
    this.clock = clock;
    this.policy = policy;
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
   * Returns whether a request may be taken, or sent to a target.
   *
   * @param deadline the end of its time limit; not null
   * @return false if the stop has begun and would not leave it enough time
   */
  public boolean admits(UpperTime deadline) {
    return began
        .map(since -> policy.admits(clock.upper().sinceMs(since), deadline.sinceMs(since)))
        .orElse(true);
  }

  /**
   * Returns what to do with a request that was not sent.
   *
   * @param deadline the end of its time limit; not null
   * @param objectiveMs its latency objective; milliseconds
   * @param peerKnown whether a peer may take it
   * @return never null
   */
  public StopPolicy.Treatment treat(UpperTime deadline, long objectiveMs, boolean peerKnown) {
    return began
        .map(
            since ->
                policy.treat(
                    clock.upper().sinceMs(since), deadline.sinceMs(since), objectiveMs, peerKnown))
        .orElse(StopPolicy.Treatment.BEGIN);
  }

  /**
   * Returns until when a target may work on a request that is sent now.
   *
   * @param limit the limit without a stop; not null
   * @return the limit, or an earlier time if this process is stopping; never null
   */
  public UpperTime workEnd(UpperTime limit) {
    return began
        .map(since -> since.plusMs(policy.workEndMs()))
        .filter(end -> end.compareTo(limit) < 0)
        .orElse(limit);
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
