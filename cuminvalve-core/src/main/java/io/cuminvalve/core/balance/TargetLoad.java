package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.List;

/**
 * What a target owns and can do.
 *
 * @param id the target; not null
 * @param slots how many requests it works on at the same time
 * @param ranges what it owns and what may be moved; not null
 * @param movable whether nothing of it is on the move
 * @since 0.2
 */
public record TargetLoad(TargetId id, int slots, List<KeyRange> ranges, boolean movable) {}
