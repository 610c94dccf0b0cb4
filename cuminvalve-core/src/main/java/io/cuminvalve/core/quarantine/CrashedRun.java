package io.cuminvalve.core.quarantine;

import io.cuminvalve.core.id.TargetId;

/**
 * A target crash during the execution of a request.
 *
 * @param target the target incarnation that crashed; not null
 * @param caller the fingerprint of the request with its caller; not null
 * @param sentMs time at which the request was sent to the target, on the local clock; milliseconds
 * @param endedMs time at which the connection to the target broke, on the local clock; milliseconds
 * @since 0.2
 */
public record CrashedRun(TargetId target, RequestFingerprint caller, long sentMs, long endedMs) {}
