package io.cuminvalve.core.quarantine;

import io.cuminvalve.core.id.TargetId;
import java.util.List;

/**
 * What a process knows of a request under which targets ended. Clocks of processes differ, so times
 * are told as ages.
 *
 * @param fingerprint the request's; not null
 * @param runs the targets that ended; not null
 * @param answeredAgeMs how long ago a target answered it; milliseconds; {@link #NOT_ANSWERED} if
 *     that is not known
 * @since 0.2
 */
public record CrashReport(
    RequestFingerprint fingerprint, List<ReportedRun> runs, long answeredAgeMs) {

  /** Stands for an age of which nothing is known. */
  public static final long NOT_ANSWERED = -1;

  /** Copies the list. */
  public CrashReport {
    runs = List.copyOf(runs);
  }

  /**
   * Tells whether a target has answered the request.
   *
   * @return false if that is not known
   */
  public boolean isAnswered() {
    return answeredAgeMs >= 0;
  }

  /**
   * A target that ended while it ran the request.
   *
   * @param target the run of the target; not null
   * @param caller the fingerprint of the request with its caller; not null
   * @param sentAgeMs how long ago the request was sent to it; milliseconds
   * @param endedAgeMs how long ago its connection broke; milliseconds
   */
  public record ReportedRun(
      TargetId target, RequestFingerprint caller, long sentAgeMs, long endedAgeMs) {}
}
