package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;

/**
 * Where a target was reached last.
 *
 * @param target the target; not null
 * @param address IP address and port; not null
 * @since 0.2
 */
public record TargetAddress(TargetId target, String address) {}
