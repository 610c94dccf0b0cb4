package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.TargetId;

/**
 * Why a request is sent to no target: the only ones that may run it have named limits.
 *
 * @param target the one that may be sent a request first; not null
 * @param limitPerS its limit; requests a second
 * @param retryAfterMs when the caller should come back; milliseconds
 */
record QuotaRefusal(TargetId target, double limitPerS, long retryAfterMs) {}
