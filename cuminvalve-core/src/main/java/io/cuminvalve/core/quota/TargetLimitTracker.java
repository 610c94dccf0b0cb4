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
 * Remembers which targets name a limit: for each run the newest that any gateway was told.
 *
 * <p>A limit ends with an answer that names none, if the request of that answer was sent after the
 * limit had been heard of: any earlier one may have been answered before the limit began. Times are
 * those of the clock of this process. Not safe for use by several threads.
 *
 * @since 0.2
 */
public final class TargetLimitTracker {

  /** Bounds the memory to some 100 KB, also if every target of a large fleet names a limit. */
  static final int MOST_TARGETS = 1_024;

  /**
   * For how long a run that is not registered is remembered: entries are missing while the registry
   * is away, and the run still counts what it gets.
   */
  static final long UNREGISTERED_MS = 60_000;

  /** Smaller changes of a limit are ignored, so that processes know the same number. */
  private static final double NOTABLE_CHANGE = 0.01;

  private final Map<TargetId, Known> byTarget = new HashMap<>();

  /**
   * Notes that an answer named a limit.
   *
   * @param target the run of the target; not null
   * @param perS requests a second; at least 0
   * @param nowMs the time; milliseconds
   * @return whether that is news
   */
  public boolean onNamed(TargetId target, double perS, long nowMs) {
    Known known = byTarget.get(target);
    Known named = new Known(perS, nowMs);
    boolean same = known != null && !known.differsFrom(named);
    return take(target, same ? new Known(known.perS, nowMs) : named);
  }

  /**
   * Notes that an answer named no limit.
   *
   * @param target the run of the target; not null
   * @param sentMs when its request was sent; a time of the clock; milliseconds
   * @param nowMs the time; milliseconds
   * @return whether that is news
   */
  public boolean onNotNamed(TargetId target, long sentMs, long nowMs) {
    Known known = byTarget.get(target);
    boolean ends = known != null && known.isLimited() && sentMs > known.atMs;
    return ends && take(target, new Known(LimitReport.NONE, nowMs));
  }

  /**
   * Takes what another process knows.
   *
   * @param report what it knows; not null
   * @param nowMs the time; milliseconds
   * @return whether that is news
   */
  public boolean merge(LimitReport report, long nowMs) {
    return take(report.target(), new Known(report.perS(), nowMs - report.ageMs()));
  }

  private boolean take(TargetId target, Known heard) {
    Known known = byTarget.get(target);
    if (known != null && heard.atMs < known.atMs) {
      return false;
    }
    byTarget.put(target, heard);
    dropOldest();
    return known == null ? heard.isLimited() : known.differsFrom(heard);
  }

  private void dropOldest() {
    if (byTarget.size() > MOST_TARGETS) {
      byTarget.entrySet().stream()
          .min(Comparator.comparing(Map.Entry::getValue, LEAST_NEEDED))
          .ifPresent(entry -> byTarget.remove(entry.getKey()));
    }
  }

  /**
   * Returns the limit of a target.
   *
   * @param target the run of the target; not null
   * @return requests a second; empty if it names none
   */
  public OptionalDouble limitOf(TargetId target) {
    Known known = byTarget.get(target);
    return known == null || !known.isLimited()
        ? OptionalDouble.empty()
        : OptionalDouble.of(known.perS);
  }

  /**
   * Returns all limits.
   *
   * @return requests a second by target; never null
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
   * Returns what is known of some targets, also that they name no limit any more.
   *
   * @param targets which ones; not null
   * @param nowMs the time; milliseconds
   * @return one report for each that named a limit; never null
   */
  public List<LimitReport> reports(Collection<TargetId> targets, long nowMs) {
    List<LimitReport> reports = new ArrayList<>();
    for (TargetId target : targets) {
      Known known = byTarget.get(target);
      if (known != null) {
        reports.add(new LimitReport(target, known.perS, nowMs - known.atMs));
      }
    }
    return reports;
  }

  /**
   * Returns the targets of which something is known.
   *
   * @return a copy; never null
   */
  public List<TargetId> targets() {
    return List.copyOf(byTarget.keySet());
  }

  /**
   * Returns the limits in short, so that two processes can tell whether they know the same.
   *
   * @return 0 if there is none
   */
  public long digest() {
    long digest = 0;
    for (Map.Entry<TargetId, Double> limit : limits().entrySet()) {
      digest += 31L * limit.getKey().hashCode() + limit.getValue().hashCode();
    }
    return digest;
  }

  /**
   * Forgets targets that are gone, and old news that a limit has ended.
   *
   * @param registered tells which targets are registered; not null
   * @param nowMs the time; milliseconds
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

  private static final Comparator<Known> LEAST_NEEDED =
      Comparator.comparing(Known::isLimited).thenComparingLong(Known::atMs);

  /** The newest observation of one target. */
  private record Known(double perS, long atMs) {

    boolean isLimited() {
      return perS >= 0;
    }

    boolean differsFrom(Known other) {
      return isLimited() != other.isLimited()
          || Math.abs(perS - other.perS) > NOTABLE_CHANGE * perS;
    }
  }
}
