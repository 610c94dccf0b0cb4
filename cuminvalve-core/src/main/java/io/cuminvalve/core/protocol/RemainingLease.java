package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;

/**
 * A lease that may still be valid.
 *
 * @param service the service; not null
 * @param firstKey the first key of the range, inclusive
 * @param lastKey the last key of the range, inclusive
 * @param target the target that may hold the lease; not null
 * @param leftMs upper bound of its remaining validity; milliseconds
 * @since 0.2
 */
public record RemainingLease(
    ServiceId service, int firstKey, int lastKey, TargetId target, long leftMs) {}
