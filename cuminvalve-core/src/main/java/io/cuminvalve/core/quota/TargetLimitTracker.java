package io.cuminvalve.core.quota;

import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Predicate;

/**
 * Tracks the rate limits that targets state in their answers. Keeps the newest limit of each
 * incarnation of a target that any gateway has received.
 *
 * <p>An answer without a limit ends the limit only if its request was sent after the limit became
 * known, since an earlier request may have been answered before the limit began. All times are from
 * the clock of this process. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetLimitTracker {

  /** Bounds the memory to about 100 KB, even if every target of a large fleet has a limit. */
  static final int MAX_TARGETS = 1_024;

  /**
   * How long the limit of an unregistered incarnation is kept. Entries are missing while the
   * registry is unavailable, and the incarnation still counts the requests that it receives.
   */
  static final long UNREGISTERED_MS = 60_000;

  /** Smaller changes of a limit are ignored, so that all processes use the same value. */
  private static final double MIN_RELATIVE_CHANGE = 0.01;

  private final Map<TargetId, Observation> byTarget = new HashMap<>();

  /**
   * Records an answer with a limit.
   *
   * @param target the incarnation of the target; not null
   * @param perS requests per second; at least 0
   * @param nowMs the current time in milliseconds
   * @return whether the limit changed
   */
  public boolean onNamed(TargetId target, double perS, long nowMs) {
    Observation known = byTarget.get(target);
    Observation named = new Observation(perS, nowMs);
    boolean same = known != null && !known.differsFrom(named);
    return update(target, same ? new Observation(known.perS, nowMs) : named);
  }

  /**
   * Records an answer without a limit.
   *
   * @param target the incarnation of the target; not null
   * @param sentMs when its request was sent; clock time in milliseconds
   * @param nowMs the current time in milliseconds
   * @return whether the limit changed
   */
  public boolean onNotNamed(TargetId target, long sentMs, long nowMs) {
    Observation known = byTarget.get(target);
    boolean ends = known != null && known.isLimited() && sentMs > known.atMs;
    return ends && update(target, new Observation(LimitReport.NONE, nowMs));
  }

  /**
   * Merges a report of another process.
   *
   * @param report the report; not null
   * @param nowMs the current time in milliseconds
   * @return whether the limit changed
   */
  public boolean merge(LimitReport report, long nowMs) {
    return update(report.target(), new Observation(report.perS(), nowMs - report.ageMs()));
  }

  private boolean update(TargetId target, Observation observed) {
    Observation known = byTarget.get(target);
    if (known != null && observed.atMs < known.atMs) {
      return false;
    }
    byTarget.put(target, observed);
    evictIfFull();
    return known == null ? observed.isLimited() : known.differsFrom(observed);
  }

  private void evictIfFull() {
    if (byTarget.size() > MAX_TARGETS) {
      byTarget.entrySet().stream()
          .min(Comparator.comparing(Map.Entry::getValue, EVICTION_ORDER))
          .ifPresent(entry -> byTarget.remove(entry.getKey()));
    }
  }

  /**
   * Returns the limit of a target.
   *
   * @param target the incarnation of the target; not null
   * @return requests per second; empty if it has no limit
   */
  public OptionalDouble limitOf(TargetId target) {
    Observation known = byTarget.get(target);
    return known == null || !known.isLimited()
        ? OptionalDouble.empty()
        : OptionalDouble.of(known.perS);
  }

  /**
   * Returns all limits.
   *
   * @return requests per second by target; never null
   */
  public Map<TargetId, Double> limits() {
    Map<TargetId, Double> limits = new HashMap<>();
    byTarget.forEach(
        (target, known) -> {
          if (known.isLimited()) {
            limits.put(target, known.perS);
          }
        });
    return limits;
  }

  /**
   * Returns reports of the given targets, including those whose limit has ended.
   *
   * @param targets the targets; not null
   * @param nowMs the current time in milliseconds
   * @return one report for each target with a current or ended limit; never null
   */
  public List<LimitReport> reports(Collection<TargetId> targets, long nowMs) {
    List<LimitReport> reports = new ArrayList<>();
    for (TargetId target : targets) {
      Observation known = byTarget.get(target);
      if (known != null) {
        reports.add(new LimitReport(target, known.perS, nowMs - known.atMs));
      }
    }
    return reports;
  }

  /**
   * Returns the targets with a current or ended limit.
   *
   * @return a copy; never null
   */
  public List<TargetId> targets() {
    return List.copyOf(byTarget.keySet());
  }

  /**
   * Returns a digest of all limits, by which two processes can compare what they know.
   *
   * @return the digest; 0 if there are no limits
   */
  public long digest() {
    long digest = 0;
    for (Map.Entry<TargetId, Double> limit : limits().entrySet()) {
      digest += 31L * limit.getKey().hashCode() + limit.getValue().hashCode();
    }
    return digest;
  }

  /**
   * Removes targets that are no longer registered and limits that have ended, after {@link
   * #UNREGISTERED_MS}.
   *
   * @param registered returns whether a target is registered; not null
   * @param nowMs the current time in milliseconds
   */
  public void forget(Predicate<TargetId> registered, long nowMs) {
    byTarget
        .entrySet()
        .removeIf(
            entry -> {
              boolean kept = entry.getValue().isLimited() && registered.test(entry.getKey());
              return !kept && nowMs - entry.getValue().atMs > UNREGISTERED_MS;
            });
  }

  private static final Comparator<Observation> EVICTION_ORDER =
      Comparator.comparing(Observation::isLimited).thenComparingLong(Observation::atMs);

  /** The newest observation of one target. */
  private record Observation(double perS, long atMs) {

    boolean isLimited() {
      return perS >= 0;
    }

    boolean differsFrom(Observation other) {
      return isLimited() != other.isLimited()
          || Math.abs(perS - other.perS) > MIN_RELATIVE_CHANGE * perS;
    }
  }
}
