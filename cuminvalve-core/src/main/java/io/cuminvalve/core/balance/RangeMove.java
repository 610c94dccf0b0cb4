package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;

/**
 * A planned change of the owner of a key range.
 *
 * @param keys the keys; not null
 * @param from the current owner; not null
 * @param to the new owner; not null
 * @since 0.2
 */
public record RangeMove(KeyRange keys, TargetId from, TargetId to) {}
