package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;

/**
 * A lease that may still be in force.
 *
 * @param service the service; not null
 * @param firstKey the lowest key
 * @param lastKey the highest key, which belongs to the range
 * @param target who may hold it; not null
 * @param leftMs for how long at most; milliseconds
 * @since 0.2
 */
public record RemainingLease(
    ServiceId service, int firstKey, int lastKey, TargetId target, long leftMs) {}
