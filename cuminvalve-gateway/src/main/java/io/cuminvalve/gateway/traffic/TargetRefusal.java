package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.TargetId;

/**
 * The refusal of a request because no target that may run it accepts requests for now.
 *
 * @param target the target that accepts requests again first; not null
 * @param cause why it accepts none; not null
 * @param limitPerS its limit in requests per second; 0 unless the cause is the limit
 * @param waitMs the estimated wait in milliseconds; 0 unless the cause is a hopeless wait
 * @param retryAfterMs the retry delay for the caller in milliseconds
 */
record TargetRefusal(
    TargetId target, Cause cause, double limitPerS, long waitMs, long retryAfterMs) {

  /** Why a target accepts no more requests. */
  enum Cause {
    /** It announced a rate limit, which is used up. */
    LIMIT,
    /** It asked this gateway for a back-off. */
    REST,
    /** It owns the key but cannot run the request, and the key cannot move for now. */
    STUCK_KEY,
    /** All targets of the service are in evacuated data centres. */
    EVACUATED,
    /** This gateway has no path to any target that may run the request. */
    UNREACHABLE,
    /** Its places are scarce, and none is expected to be free while the caller can wait. */
    HOPELESS_WAIT
  }

  static TargetRefusal forHopelessWait(TargetId target, long waitMs, long retryAfterMs) {
    return new TargetRefusal(target, Cause.HOPELESS_WAIT, 0, waitMs, retryAfterMs);
  }

  static TargetRefusal forUnreachable(TargetId target, long retryAfterMs) {
    return new TargetRefusal(target, Cause.UNREACHABLE, 0, 0, retryAfterMs);
  }

  static TargetRefusal forEvacuation(TargetId target, long retryAfterMs) {
    return new TargetRefusal(target, Cause.EVACUATED, 0, 0, retryAfterMs);
  }

  static TargetRefusal forLimit(TargetId target, double limitPerS, long retryAfterMs) {
    return new TargetRefusal(target, Cause.LIMIT, limitPerS, 0, retryAfterMs);
  }

  static TargetRefusal forStuckKey(TargetId target, long retryAfterMs) {
    return new TargetRefusal(target, Cause.STUCK_KEY, 0, 0, retryAfterMs);
  }

  static TargetRefusal forBackoff(TargetId target, long retryAfterMs) {
    return new TargetRefusal(target, Cause.REST, 0, 0, retryAfterMs);
  }
}
