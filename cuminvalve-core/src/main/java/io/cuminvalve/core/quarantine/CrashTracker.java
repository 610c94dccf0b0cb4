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
 * Tracks the requests during which targets crashed, and decides which of them to quarantine.
 *
 * <p>The state only grows, and merging reports is commutative, so that processes that exchange
 * reports reach the same decision without a term holder. An answer clears a request of all earlier
 * crashes. Times refer to the local clock. Not thread-safe.
 *
 * @since 0.2
 */
public final class CrashTracker {

  /**
   * Two consecutive crashes may be a coincidence; each further one takes another target from
   * callers.
   */
  static final int QUARANTINE_CRASHES = 3;

  /**
   * From this number of consecutive crashes on, the whole fleet watches for an answer to the
   * request.
   */
  static final int WATCH_CRASHES = 2;

  /**
   * Length of the first quarantine. It limits the delay of a request that was merely in flight when
   * targets crashed; a request that causes crashes costs one target per trial.
   */
  static final long INITIAL_QUARANTINE_MS = 30_000;

  /** Factor by which the quarantine grows each time the trial after it crashes a target again. */
  private static final int QUARANTINE_GROWTH_FACTOR = 4;

  /** Short enough to detect within an hour that the targets have been fixed. */
  static final long MAX_QUARANTINE_MS = 15 * 60_000L;

  /** Time after a quarantine decision during which a single crash starts the next quarantine. */
  static final long PROBATION_MS = 60 * 60_000L;

  /** Crashes further apart than this are considered unrelated. */
  static final long CRASH_RETENTION_MS = 10 * 60_000L;

  /**
   * Bounds the memory to about 400 KB, even if a rack with thousands of requests in flight fails.
   */
  static final int MAX_REQUESTS = 512;

  private final double jitterFraction;
  private final Map<RequestFingerprint, CrashHistory> histories = new LinkedHashMap<>();

  /**
   * Creates an empty tracker.
   *
   * @param jitterFraction fraction of the quarantine length by which this process extends each
   *     quarantine; 0 to 1, different in each process
   */
  public CrashTracker(double jitterFraction) {
    this.jitterFraction = jitterFraction;
  }

  /**
   * Records that a target crashed while executing a request.
   *
   * @param fingerprint the fingerprint of the request; not null
   * @param run the observed crash; not null
   * @param nowMs the current time; milliseconds
   * @return whether the crash is new
   */
  public boolean onCrash(RequestFingerprint fingerprint, CrashedRun run, long nowMs) {
    CrashHistory history = histories.computeIfAbsent(fingerprint, CrashHistory::new);
    boolean changed = history.add(run, nowMs);
    evict(nowMs);
    return changed;
  }

  /**
   * Records that a target answered a request.
   *
   * @param fingerprint the fingerprint of the request; not null
   * @param answeredMs time of the answer on the local clock; milliseconds
   * @param nowMs the current time; milliseconds
   * @return whether this clears the request of any crash
   */
  public boolean onAnswer(RequestFingerprint fingerprint, long answeredMs, long nowMs) {
    CrashHistory history = histories.get(fingerprint);
    return history != null && history.onAnswer(answeredMs, nowMs);
  }

  /**
   * Merges a report of another process.
   *
   * @param report the report; not null
   * @param nowMs the current time; milliseconds
   * @return whether the report contained anything new
   */
  public boolean merge(CrashReport report, long nowMs) {
    RequestFingerprint fingerprint = report.fingerprint();
    CrashHistory history = histories.computeIfAbsent(fingerprint, CrashHistory::new);
    boolean changed =
        report.isAnswered() && history.onAnswer(nowMs - report.answeredAgeMs(), nowMs);
    for (ReportedRun run : report.runs()) {
      changed |=
          history.add(
              new CrashedRun(
                  run.target(), run.caller(), nowMs - run.sentAgeMs(), nowMs - run.endedAgeMs()),
              nowMs);
    }
    evict(nowMs);
    return changed;
  }

  /**
   * Returns reports on the given requests.
   *
   * @param fingerprints the fingerprints of the requests; not null
   * @param nowMs the current time; milliseconds
   * @return one report for each request with a known history; never null
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
   * Returns the requests that all processes must watch: those with at least two consecutive
   * crashes.
   *
   * @param nowMs the current time; milliseconds
   * @return never null
   */
  public Set<RequestFingerprint> watched(long nowMs) {
    evict(nowMs);
    Set<RequestFingerprint> watched = new HashSet<>();
    histories.forEach(
        (fingerprint, history) -> {
          if (history.consecutiveCrashes() >= WATCH_CRASHES) {
            watched.add(fingerprint);
          }
        });
    return watched;
  }

  /**
   * Returns the quarantined requests and the end of each quarantine.
   *
   * <p>The end may have passed: the request is then on probation, and one request may be sent as a
   * trial.
   *
   * @param nowMs the current time; milliseconds
   * @return the end of each quarantine on the local clock; milliseconds; never null
   */
  public Map<RequestFingerprint, Long> quarantinedUntilMs(long nowMs) {
    evict(nowMs);
    Map<RequestFingerprint, Long> quarantined = new HashMap<>();
    histories.forEach(
        (fingerprint, history) -> {
          int crashes = history.consecutiveCrashes();
          if (crashes >= QUARANTINE_CRASHES) {
            quarantined.put(fingerprint, history.lastEndedMs() + quarantineMs(crashes));
          }
        });
    return quarantined;
  }

  /**
   * The jitter spreads trials over processes, so that the first one can report its result to the
   * others.
   */
  private long quarantineMs(int crashes) {
    long lengthMs = INITIAL_QUARANTINE_MS;
    for (int i = QUARANTINE_CRASHES; i < crashes; i++) {
      lengthMs = Math.min(MAX_QUARANTINE_MS, lengthMs * QUARANTINE_GROWTH_FACTOR);
    }
    return lengthMs + (long) (lengthMs * jitterFraction);
  }

  /**
   * Returns the crashes that count against a request.
   *
   * @param fingerprint the fingerprint of the request; not null
   * @return in chronological order; never null
   */
  public List<CrashedRun> crashesOf(RequestFingerprint fingerprint) {
    CrashHistory history = histories.get(fingerprint);
    return history == null ? List.of() : history.runs();
  }

  /**
   * Returns whether a target has answered the request, which clears crashes that other processes
   * may still count.
   *
   * @param fingerprint the fingerprint of the request; not null
   * @return whether an answer is known
   */
  public boolean wasAnswered(RequestFingerprint fingerprint) {
    CrashHistory history = histories.get(fingerprint);
    return history != null && history.wasAnswered();
  }

  private void evict(long nowMs) {
    histories.values().removeIf(history -> isExpired(history, nowMs));
    while (histories.size() > MAX_REQUESTS) {
      histories.entrySet().stream()
          .min(Comparator.comparing(Map.Entry::getValue, LEAST_SUSPECT_FIRST))
          .ifPresent(least -> histories.remove(least.getKey()));
    }
  }

  private static boolean isExpired(CrashHistory history, long nowMs) {
    boolean isQuarantined = history.consecutiveCrashes() >= QUARANTINE_CRASHES;
    return nowMs - history.changedMs() > (isQuarantined ? PROBATION_MS : CRASH_RETENTION_MS);
  }

  private static final Comparator<CrashHistory> LEAST_SUSPECT_FIRST =
      Comparator.comparingInt(CrashHistory::consecutiveCrashes)
          .thenComparingLong(CrashHistory::changedMs);
}
