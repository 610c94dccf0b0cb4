package io.cuminvalve.load.report;

import io.cuminvalve.core.table.KeyHasher;
import io.cuminvalve.load.run.Attempt;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Measures how long groups of keys could not be served, as callers saw it.
 *
 * <p>Keys are hashed to groups. A group is unavailable from the intended time of an operation that
 * failed, or that took longer than the limit, until that operation was answered or, after a
 * failure, until the next operation of the group was served. Only interactive operations count.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class AvailabilityMeter {

  /** How many groups keys are hashed to. */
  public static final int GROUPS = 64;

  /** An answer later than this counts as unavailable time, in nanoseconds. */
  static final long SLOW_NS = 1_000_000_000L;

  private static final double NS_PER_MS = 1e6;

  private record Sample(long startNs, long endNs, boolean served) {}

  private final List<List<Sample>> groups = new ArrayList<>();

  /** Creates a meter without samples. */
  public AvailabilityMeter() {
    for (int i = 0; i < GROUPS; i++) {
      groups.add(new ArrayList<>());
    }
  }

  /**
   * Records the end of an attempt.
   *
   * @param attempt the attempt; not null
   */
  public synchronized void record(Attempt attempt) {
    int group = KeyHasher.shardOf(attempt.operation().key(), GROUPS);
    groups
        .get(group)
        .add(
            new Sample(
                attempt.operation().intendedNs(), attempt.completedNs(), attempt.isServed()));
  }

  /**
   * Returns how long a group was unavailable in all, on average over the groups.
   *
   * @return milliseconds
   */
  public synchronized double meanUnavailableMs() {
    return groups.stream().mapToLong(AvailabilityMeter::totalNs).sum() / NS_PER_MS / GROUPS;
  }

  /**
   * Returns how long the worst group was unavailable in all.
   *
   * @return milliseconds
   */
  public synchronized double worstUnavailableMs() {
    return groups.stream().mapToLong(AvailabilityMeter::totalNs).max().orElse(0) / NS_PER_MS;
  }

  private static long totalNs(List<Sample> samples) {
    List<Sample> sorted = new ArrayList<>(samples);
    sorted.sort(Comparator.comparingLong(Sample::startNs));
    long total = 0;
    long coveredUntil = Long.MIN_VALUE;
    for (int i = 0; i < sorted.size(); i++) {
      Sample sample = sorted.get(i);
      if (sample.served() && sample.endNs() - sample.startNs() <= SLOW_NS) {
        continue;
      }
      long end = sample.served() ? sample.endNs() : nextServedNs(sorted, i);
      long start = Math.max(sample.startNs(), coveredUntil);
      total += Math.max(0, end - start);
      coveredUntil = Math.max(coveredUntil, end);
    }
    return total;
  }

  private static long nextServedNs(List<Sample> sorted, int failed) {
    for (int i = failed + 1; i < sorted.size(); i++) {
      if (sorted.get(i).served()) {
        return sorted.get(i).endNs();
      }
    }
    return sorted.get(sorted.size() - 1).endNs();
  }
}
