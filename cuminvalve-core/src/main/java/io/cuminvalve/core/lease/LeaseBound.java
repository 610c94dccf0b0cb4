package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;

/**
 * For how long a target may still hold keys that another one is to get.
 *
 * @param target the target; not null
 * @param leftMs counted from when this was written, whoever granted the lease; milliseconds
 * @since 0.2
 */
public record LeaseBound(TargetId target, long leftMs) {}
