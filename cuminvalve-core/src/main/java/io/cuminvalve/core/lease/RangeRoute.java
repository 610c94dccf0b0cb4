package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;

/**
 * Where requests for a range go now.
 *
 * @param firstKey the lowest key
 * @param lastKey the highest key, which belongs to the range
 * @param owner the target that owns it or is about to; not null
 * @param open whether the owner has its lease; requests wait or are refused while it is false
 * @since 0.2
 */
public record RangeRoute(int firstKey, int lastKey, TargetId owner, boolean open) {}
