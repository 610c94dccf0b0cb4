package io.cuminvalve.load.report;

import io.cuminvalve.load.run.Attempt;
import java.util.ArrayList;
import java.util.List;

/**
 * Counts of each second of a run, by the intended time of operations. Not thread-safe.
 *
 * @since 0.1
 */
public final class Timeline {

  private static final long NS_PER_SECOND = 1_000_000_000L;
  private static final double NS_PER_MS = 1e6;

  /**
   * One second.
   *
   * @param served attempts whose callers got what they asked for
   * @param failed all others
   * @param maxLatencyMs the longest latency of a served attempt
   */
  public record Second(long served, long failed, double maxLatencyMs) {}

  private final List<Second> seconds = new ArrayList<>();
  private long firstNs = Long.MIN_VALUE;

  /** Creates an empty timeline. */
  public Timeline() {}

  void record(Attempt attempt) {
    long intendedNs = attempt.operation().intendedNs();
    if (firstNs == Long.MIN_VALUE) {
      firstNs = intendedNs;
    }
    int index = (int) Math.max(0, (intendedNs - firstNs) / NS_PER_SECOND);
    while (seconds.size() <= index) {
      seconds.add(new Second(0, 0, 0));
    }
    seconds.set(index, add(seconds.get(index), attempt));
  }

  private static Second add(Second old, Attempt attempt) {
    if (!attempt.isServed()) {
      return new Second(old.served(), old.failed() + 1, old.maxLatencyMs());
    }
    double latencyMs = attempt.latencyNs() / NS_PER_MS;
    return new Second(old.served() + 1, old.failed(), Math.max(old.maxLatencyMs(), latencyMs));
  }

  /**
   * Returns the seconds.
   *
   * @return a copy, oldest first
   */
  public List<Second> seconds() {
    return List.copyOf(seconds);
  }
}
