package io.cuminvalve.core.quarantine;

import io.cuminvalve.core.quarantine.CrashReport.ReportedRun;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Crash history of one request: the targets that crashed while executing it, and whether a target
 * has answered it.
 *
 * <p>Executions that overlap in time count as one crash: a request that many callers send is in
 * flight at several targets when a rack fails, without having caused the failure. A request that
 * causes crashes reaches its next target only after the previous one has crashed.
 */
final class CrashHistory {

  /** Sufficient to detect three consecutive crashes among overlapping ones. */
  private static final int MAX_RUNS = 8;

  private final RequestFingerprint fingerprint;
  private final List<CrashedRun> runs = new ArrayList<>();
  private long answeredMs = Long.MIN_VALUE;
  private long changedMs;

  CrashHistory(RequestFingerprint fingerprint) {
    this.fingerprint = fingerprint;
  }

  /**
   * Adds a crash. Returns whether it is new and relevant: a crash before the last answer is
   * ignored.
   */
  boolean add(CrashedRun run, long nowMs) {
    boolean known = runs.stream().anyMatch(other -> other.target().equals(run.target()));
    if (known || run.endedMs() <= answeredMs) {
      return false;
    }
    runs.add(run);
    runs.sort(Comparator.comparingLong(CrashedRun::endedMs));
    if (runs.size() > MAX_RUNS) {
      runs.remove(0);
    }
    changedMs = nowMs;
    return true;
  }

  /** Records that a target answered the request. Returns whether this clears any crash. */
  boolean onAnswer(long atMs, long nowMs) {
    if (atMs <= answeredMs) {
      return false;
    }
    answeredMs = atMs;
    boolean cleared = runs.removeIf(run -> run.endedMs() <= atMs);
    if (cleared) {
      changedMs = nowMs;
    }
    return cleared;
  }

  /**
   * Returns the number of targets that crashed in sequence, each sent the request after the
   * previous crash.
   */
  int consecutiveCrashes() {
    if (isSharedByCallers() && allFromOneCaller()) {
      return Math.min(1, runs.size());
    }
    int count = 0;
    long lastEndedMs = Long.MIN_VALUE;
    for (CrashedRun run : runs) {
      if (run.sentMs() >= lastEndedMs) {
        count++;
        lastEndedMs = run.endedMs();
      }
    }
    return count;
  }

  /** Crashes caused by a single caller must not quarantine the same request of other callers. */
  private boolean allFromOneCaller() {
    return runs.stream().map(CrashedRun::caller).distinct().count() == 1;
  }

  private boolean isSharedByCallers() {
    return runs.stream().anyMatch(run -> !run.caller().equals(fingerprint));
  }

  /** Returns the time of the last crash on the local clock, in milliseconds. */
  long lastEndedMs() {
    return runs.isEmpty() ? Long.MIN_VALUE : runs.get(runs.size() - 1).endedMs();
  }

  /** Returns the time of the last change to this history on the local clock, in milliseconds. */
  long changedMs() {
    return changedMs;
  }

  List<CrashedRun> runs() {
    return List.copyOf(runs);
  }

  boolean wasAnswered() {
    return answeredMs != Long.MIN_VALUE;
  }

  CrashReport report(long nowMs) {
    List<ReportedRun> reported = new ArrayList<>();
    for (CrashedRun run : runs) {
      reported.add(
          new ReportedRun(run.target(), run.caller(), nowMs - run.sentMs(), nowMs - run.endedMs()));
    }
    long answeredAgeMs = wasAnswered() ? nowMs - answeredMs : CrashReport.NOT_ANSWERED;
    return new CrashReport(fingerprint, reported, answeredAgeMs);
  }
}
