package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.TargetId;

/**
 * Why a request is sent to no target: the only ones that may run it take no more for now.
 *
 * @param target the one that may be sent a request first; not null
 * @param cause why it takes none; not null
 * @param limitPerS the limit that it names; requests a second, 0 if it rests
 * @param retryAfterMs when the caller should come back; milliseconds
 */
record TargetRefusal(TargetId target, Cause cause, double limitPerS, long retryAfterMs) {

  /** Why a target takes no more. */
  enum Cause {
    /** It has named a limit. */
    LIMIT,
    /** It has asked this gateway for rest. */
    REST,
    /** It owns the key and cannot run the request, and the key cannot move for now. */
    STUCK_KEY
  }

  static TargetRefusal forLimit(TargetId target, double limitPerS, long retryAfterMs) {
    return new TargetRefusal(target, Cause.LIMIT, limitPerS, retryAfterMs);
  }

  static TargetRefusal forStuckKey(TargetId target, long retryAfterMs) {
    return new TargetRefusal(target, Cause.STUCK_KEY, 0, retryAfterMs);
  }

  static TargetRefusal forBackoff(TargetId target, long retryAfterMs) {
    return new TargetRefusal(target, Cause.REST, 0, retryAfterMs);
  }
}
