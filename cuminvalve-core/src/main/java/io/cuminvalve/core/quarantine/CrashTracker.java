package io.cuminvalve.core.quarantine;

import io.cuminvalve.core.quarantine.CrashReport.ReportedRun;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Remembers which requests targets ended under, and decides which of them are sent no more.
 *
 * <p>Facts only grow and are the same in whatever order they arrive, so that several processes can
 * tell one another and come to the same decision without a holder. An answer clears a request of
 * all crashes before it. Times are those of the clock of this process. Not safe for use by several
 * threads.
 *
 * @since 0.2
 */
public final class CrashTracker {

  /** Two may be bad luck in a bad minute; each further one costs callers a target. */
  static final int QUARANTINE_CRASHES = 3;

  /** From here on the whole fleet looks out for an answer. */
  static final int WATCH_CRASHES = 2;

  /**
   * The first quarantine. A request that was merely there when targets crashed waits no longer, and
   * one that is at fault costs a target each time it is tried again.
   */
  static final long FIRST_QUARANTINE_MS = 30_000;

  /** How much longer the next quarantine is, if the trial after one ends a target again. */
  private static final int GROWTH = 4;

  /** Short enough to notice within a working hour that targets were mended. */
  static final long LONGEST_QUARANTINE_MS = 15 * 60_000L;

  /** Until then one crash is enough for the next quarantine. */
  static final long PROBATION_MS = 60 * 60_000L;

  /** Crashes further apart than this have nothing to do with one another. */
  static final long SUSPICION_MS = 10 * 60_000L;

  /** Bounds the memory to some 400 KB, also when a rack with thousands of requests is lost. */
  static final int MOST_REQUESTS = 512;

  private final double lateShare;
  private final Map<RequestFingerprint, CrashHistory> histories = new LinkedHashMap<>();

  /**
   * Creates a ledger that knows of nothing.
   *
   * @param lateShare by which share of its length this process ends a quarantine later than the
   *     first one may; 0 to 1, another one for each process
   */
  public CrashTracker(double lateShare) {
    this.lateShare = lateShare;
  }

  /**
   * Notes that a target ended under a request.
   *
   * @param fingerprint the request's; not null
   * @param run what was seen; not null
   * @param nowMs the time; milliseconds
   * @return whether it is news
   */
  public boolean onCrash(RequestFingerprint fingerprint, CrashedRun run, long nowMs) {
    CrashHistory history = histories.computeIfAbsent(fingerprint, CrashHistory::new);
    boolean news = history.add(run, nowMs);
    forget(nowMs);
    return news;
  }

  /**
   * Notes that a target ran a request and answered it.
   *
   * @param fingerprint the request's; not null
   * @param answeredMs when; a time of the clock; milliseconds
   * @param nowMs the time; milliseconds
   * @return whether that clears it of a crash
   */
  public boolean onAnswer(RequestFingerprint fingerprint, long answeredMs, long nowMs) {
    CrashHistory history = histories.get(fingerprint);
    return history != null && history.onAnswer(answeredMs, nowMs);
  }

  /**
   * Takes what another process knows of a request.
   *
   * @param report what it knows; not null
   * @param nowMs the time; milliseconds
   * @return whether anything of it is news
   */
  public boolean merge(CrashReport report, long nowMs) {
    RequestFingerprint fingerprint = report.fingerprint();
    CrashHistory history = histories.computeIfAbsent(fingerprint, CrashHistory::new);
    boolean news = report.isAnswered() && history.onAnswer(nowMs - report.answeredAgeMs(), nowMs);
    for (ReportedRun run : report.runs()) {
      news |=
          history.add(
              new CrashedRun(
                  run.target(), run.caller(), nowMs - run.sentAgeMs(), nowMs - run.endedAgeMs()),
              nowMs);
    }
    forget(nowMs);
    return news;
  }

  /**
   * Returns what is known of some requests.
   *
   * @param fingerprints which ones; not null
   * @param nowMs the time; milliseconds
   * @return one report for each of which something is known; never null
   */
  public List<CrashReport> reports(Collection<RequestFingerprint> fingerprints, long nowMs) {
    List<CrashReport> reports = new ArrayList<>();
    for (RequestFingerprint fingerprint : fingerprints) {
      Optional.ofNullable(histories.get(fingerprint))
          .ifPresent(history -> reports.add(history.report(nowMs)));
    }
    return reports;
  }

  /**
   * Returns the requests that every process has to know of: two crashes in a row or more.
   *
   * @param nowMs the time; milliseconds
   * @return never null
   */
  public Set<RequestFingerprint> watched(long nowMs) {
    forget(nowMs);
    Set<RequestFingerprint> watched = new HashSet<>();
    histories.forEach(
        (fingerprint, history) -> {
          if (history.crashesInRow() >= WATCH_CRASHES) {
            watched.add(fingerprint);
          }
        });
    return watched;
  }

  /**
   * Returns the requests that are sent to no target, and until when.
   *
   * <p>A time may be over: then the request is on probation, and one may be sent as a trial.
   *
   * @param nowMs the time; milliseconds
   * @return a time of the clock for each; milliseconds; never null
   */
  public Map<RequestFingerprint, Long> quarantinedUntilMs(long nowMs) {
    forget(nowMs);
    Map<RequestFingerprint, Long> quarantined = new HashMap<>();
    histories.forEach(
        (fingerprint, history) -> {
          int crashes = history.crashesInRow();
          if (crashes >= QUARANTINE_CRASHES) {
            quarantined.put(fingerprint, history.lastEndedMs() + quarantineMs(crashes));
          }
        });
    return quarantined;
  }

  /** Processes try at different times: the first to do so tells the others how it went. */
  private long quarantineMs(int crashes) {
    long lengthMs = FIRST_QUARANTINE_MS;
    for (int i = QUARANTINE_CRASHES; i < crashes; i++) {
      lengthMs = Math.min(LONGEST_QUARANTINE_MS, lengthMs * GROWTH);
    }
    return lengthMs + (long) (lengthMs * lateShare);
  }

  /**
   * Returns the crashes that count against a request.
   *
   * @param fingerprint the request's; not null
   * @return in the order of their times; never null
   */
  public List<CrashedRun> crashesOf(RequestFingerprint fingerprint) {
    CrashHistory history = histories.get(fingerprint);
    return history == null ? List.of() : history.runs();
  }

  /**
   * Tells whether an answer cleared a request of crashes that others may still know of.
   *
   * @param fingerprint the request's; not null
   * @return whether it was answered
   */
  public boolean wasAnswered(RequestFingerprint fingerprint) {
    CrashHistory history = histories.get(fingerprint);
    return history != null && history.wasAnswered();
  }

  private void forget(long nowMs) {
    histories.values().removeIf(history -> isOver(history, nowMs));
    while (histories.size() > MOST_REQUESTS) {
      histories.entrySet().stream()
          .min(Comparator.comparing(Map.Entry::getValue, LEAST_SUSPECT))
          .ifPresent(least -> histories.remove(least.getKey()));
    }
  }

  private static boolean isOver(CrashHistory history, long nowMs) {
    boolean convicted = history.crashesInRow() >= QUARANTINE_CRASHES;
    return nowMs - history.changedMs() > (convicted ? PROBATION_MS : SUSPICION_MS);
  }

  private static final Comparator<CrashHistory> LEAST_SUSPECT =
      Comparator.comparingInt(CrashHistory::crashesInRow)
          .thenComparingLong(CrashHistory::changedMs);
}
