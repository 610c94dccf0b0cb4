package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;

/**
 * A range that should have another owner.
 *
 * @param keys the keys; not null
 * @param from the owner now; not null
 * @param to the next owner; not null
 * @since 0.2
 */
public record RangeMove(KeyRange keys, TargetId from, TargetId to) {}
