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
 * Remembers which runs of targets have said in an answer that they leave.
 *
 * <p>A run that has begun to leave never comes back; the next run under its name is another one.
 * Its entry in the registry may say the contrary for as long as the registry is away. Times are
 * those of the clock of this process. Not safe for use by several threads.
 *
 * @since 0.2
 */
public final class DepartureTracker {

  /** Bounds the memory, also if every target of a large fleet leaves. */
  static final int MAX_TARGETS = 1_024;

  /** For how long a run that is not registered is remembered: entries may come back. */
  static final long UNREGISTERED_RETENTION_MS = 60_000;

  private final Map<TargetId, Long> sinceMs = new HashMap<>();

  /**
   * Notes that a run leaves.
   *
   * @param target the run; not null
   * @param nowMs the time; milliseconds
   * @return whether that is news
   */
  public boolean add(TargetId target, long nowMs) {
    return merge(new DepartureReport(target, 0), nowMs);
  }

  /**
   * Takes what another process knows.
   *
   * @param report what it knows; not null
   * @param nowMs the time; milliseconds
   * @return whether that is news
   */
  public boolean merge(DepartureReport report, long nowMs) {
    boolean known = sinceMs.containsKey(report.target());
    if (known || sinceMs.size() < MAX_TARGETS) {
      sinceMs.merge(report.target(), nowMs - report.ageMs(), Math::min);
    }
    return !known && sinceMs.containsKey(report.target());
  }

  /**
   * Returns the runs that leave.
   *
   * @return a copy; never null
   */
  public Set<TargetId> targets() {
    return Set.copyOf(sinceMs.keySet());
  }

  /**
   * Returns what is known of some runs.
   *
   * @param targets which ones; not null
   * @param nowMs the time; milliseconds
   * @return one report for each that leaves; never null
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
   * Returns the runs in short, so that two processes can tell whether they know the same.
   *
   * @return 0 if there is none
   */
  public long digest() {
    return sinceMs.keySet().stream().mapToLong(target -> 31L * target.hashCode()).sum();
  }

  /**
   * Forgets runs that have long been gone.
   *
   * @param registered tells which runs are registered; not null
   * @param nowMs the time; milliseconds
   * @return whether any was forgotten
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
