package io.cuminvalve.core.fleet;

import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Tracks which runs of targets have announced in an answer that they are leaving.
 *
 * <p>A run that has begun to leave never returns to service; the next run under its name is a
 * different one. While the registry is unavailable, its entry for the run may still say that it is
 * ready. Times are those of this process's clock. Not thread-safe.
 *
 * @since 0.2
 */
public final class DepartureTracker {

  /** Limits the memory used if every target of a large fleet leaves. */
  static final int MAX_TARGETS = 1_024;

  /** How long a run that is not registered is remembered, as its registry entry may reappear. */
  static final long UNREGISTERED_RETENTION_MS = 60_000;

  private final Map<TargetId, Long> sinceMs = new HashMap<>();

  /**
   * Records that a run is leaving.
   *
   * @param target the run; not null
   * @param nowMs the current time; milliseconds
   * @return whether the departure was not known before and has been recorded
   */
  public boolean add(TargetId target, long nowMs) {
    return merge(new DepartureReport(target, 0), nowMs);
  }

  /**
   * Merges a report from another process.
   *
   * @param report the report; not null
   * @param nowMs the current time; milliseconds
   * @return whether the departure was not known before and has been recorded
   */
  public boolean merge(DepartureReport report, long nowMs) {
    boolean known = sinceMs.containsKey(report.target());
    if (known || sinceMs.size() < MAX_TARGETS) {
      sinceMs.merge(report.target(), nowMs - report.ageMs(), Math::min);
    }
    return !known && sinceMs.containsKey(report.target());
  }

  /**
   * Returns the runs that are leaving.
   *
   * @return a copy; never null
   */
  public Set<TargetId> targets() {
    return Set.copyOf(sinceMs.keySet());
  }

  /**
   * Returns reports on those of the given runs that are leaving.
   *
   * @param targets the runs; not null
   * @param nowMs the current time; milliseconds
   * @return one report for each leaving run; never null
   */
  public List<DepartureReport> reports(Collection<TargetId> targets, long nowMs) {
    List<DepartureReport> reports = new ArrayList<>();
    for (TargetId target : targets) {
      Long atMs = sinceMs.get(target);
      if (atMs != null) {
        reports.add(new DepartureReport(target, nowMs - atMs));
      }
    }
    return reports;
  }

  /**
   * Returns a digest of the leaving runs, by which two processes can compare what they know.
   *
   * @return 0 if there is none
   */
  public long digest() {
    return sinceMs.keySet().stream().mapToLong(target -> 31L * target.hashCode()).sum();
  }

  /**
   * Removes runs that are not registered and have been leaving for longer than the retention time.
   *
   * @param registered tests whether a run is registered; not null
   * @param nowMs the current time; milliseconds
   * @return whether any run was removed
   */
  public boolean forget(Predicate<TargetId> registered, long nowMs) {
    return sinceMs
        .entrySet()
        .removeIf(
            entry ->
                nowMs - entry.getValue() > UNREGISTERED_RETENTION_MS
                    && !registered.test(entry.getKey()));
  }
}
