package io.cuminvalve.core.quarantine;

import io.cuminvalve.core.id.TargetId;

/**
 * A target ended while it ran a request.
 *
 * @param target the run of the target that ended; not null
 * @param caller the fingerprint of the request with its caller; not null
 * @param sentMs when the request was sent to it; a time of the clock; milliseconds
 * @param endedMs when its connection broke; a time of the clock; milliseconds
 * @since 0.2
 */
public record CrashedRun(TargetId target, RequestFingerprint caller, long sentMs, long endedMs) {}
