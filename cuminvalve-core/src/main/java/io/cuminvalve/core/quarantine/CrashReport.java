package io.cuminvalve.core.quarantine;

import io.cuminvalve.core.id.TargetId;
import java.util.List;

/**
 * Crash history of one request, as reported by one process. Times are given as ages because the
 * clocks of processes differ.
 *
 * @param fingerprint the fingerprint of the request; not null
 * @param runs the executions during which targets crashed; not null
 * @param answeredAgeMs time since a target answered the request; milliseconds; {@link
 *     #NOT_ANSWERED} if no answer is known
 * @since 0.2
 */
public record CrashReport(
    RequestFingerprint fingerprint, List<ReportedRun> runs, long answeredAgeMs) {

  /** Value of {@code answeredAgeMs} if no answer is known. */
  public static final long NOT_ANSWERED = -1;

  /** Copies the list. */
  public CrashReport {
    runs = List.copyOf(runs);
  }

  /**
   * Returns whether a target is known to have answered the request.
   *
   * @return false if no answer is known
   */
  public boolean isAnswered() {
    return answeredAgeMs >= 0;
  }

  /**
   * A target crash during the execution of the request.
   *
   * @param target the target incarnation; not null
   * @param caller the fingerprint of the request with its caller; not null
   * @param sentAgeMs time since the request was sent to the target; milliseconds
   * @param endedAgeMs time since the connection to the target broke; milliseconds
   */
  public record ReportedRun(
      TargetId target, RequestFingerprint caller, long sentAgeMs, long endedAgeMs) {}
}
