package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.quarantine.CrashedRun;
import io.cuminvalve.core.quarantine.RequestIdentity;

/**
 * A request that a target may have been running when its connection broke.
 *
 * @param attemptId the caller's id for the attempt; not null
 * @param identity identifies repetitions of the request; not null
 * @param target the run of the target; not null
 * @param sentMs when it was sent; a time of the clock in milliseconds
 * @param endedMs when the connection broke or the request was abandoned; milliseconds
 * @since 0.2
 */
public record BrokenAttempt(
    String attemptId, RequestIdentity identity, TargetId target, long sentMs, long endedMs) {

  /**
   * Returns the crash that this attempt stands for if the target is known to have ended.
   *
   * @return never null
   */
  public CrashedRun asCrash() {
    return new CrashedRun(target, identity.contentAndCaller(), sentMs, endedMs);
  }
}
