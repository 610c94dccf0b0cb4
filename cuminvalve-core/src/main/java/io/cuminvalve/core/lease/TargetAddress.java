package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;

/**
 * The last known address of a target.
 *
 * @param target the target; not null
 * @param address IP address and port; not null
 * @since 0.2
 */
public record TargetAddress(TargetId target, String address) {}
