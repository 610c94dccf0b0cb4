package io.cuminvalve.core.quarantine;

import io.cuminvalve.core.quarantine.CrashReport.ReportedRun;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What is known of one request: which targets ended while they ran it, and whether one answered it.
 *
 * <p>Crashes that were under way at the same time count once: a request that many callers make is
 * at several targets when a rack fails, and did not cause it. One that causes crashes comes to the
 * next target after the last one has ended.
 */
final class CrashHistory {

  /** Enough to tell three in a row, with some at the same time among them. */
  private static final int MOST_RUNS = 8;

  private final RequestFingerprint fingerprint;
  private final List<CrashedRun> runs = new ArrayList<>();
  private long answeredMs = Long.MIN_VALUE;
  private long changedMs;

  CrashHistory(RequestFingerprint fingerprint) {
    this.fingerprint = fingerprint;
  }

  /** Adds a crash. Tells whether it is news: one before an answer counts for nothing. */
  boolean add(CrashedRun run, long nowMs) {
    boolean known = runs.stream().anyMatch(other -> other.target().equals(run.target()));
    if (known || run.endedMs() <= answeredMs) {
      return false;
    }
    runs.add(run);
    runs.sort(Comparator.comparingLong(CrashedRun::endedMs));
    if (runs.size() > MOST_RUNS) {
      runs.remove(0);
    }
    changedMs = nowMs;
    return true;
  }

  /** A target ran the request and answered. Tells whether that clears it of a crash. */
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

  /** Returns how many targets ended one after the other, each sent the request after the last. */
  int crashesInRow() {
    if (isOfSeveralCallers() && hasOneCaller()) {
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

  /** Others who ask for the same are not to suffer for what one caller does. */
  private boolean hasOneCaller() {
    return runs.stream().map(CrashedRun::caller).distinct().count() == 1;
  }

  private boolean isOfSeveralCallers() {
    return runs.stream().anyMatch(run -> !run.caller().equals(fingerprint));
  }

  /** Returns when a target ended last; a time of the clock, milliseconds. */
  long lastEndedMs() {
    return runs.isEmpty() ? Long.MIN_VALUE : runs.get(runs.size() - 1).endedMs();
  }

  /** Returns when something was learnt last; a time of the clock, milliseconds. */
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
