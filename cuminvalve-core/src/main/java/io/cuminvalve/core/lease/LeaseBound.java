package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;

/**
 * An upper bound on how long a previous owner may still hold a range.
 *
 * @param target the previous owner; not null
 * @param leftMs the remaining time when the bound was written, whichever term holder granted the
 *     lease; milliseconds
 * @since 0.2
 */
public record LeaseBound(TargetId target, long leftMs) {}
