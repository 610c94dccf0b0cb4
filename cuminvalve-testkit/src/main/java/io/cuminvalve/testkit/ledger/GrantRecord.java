package io.cuminvalve.testkit.ledger;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;

/**
 * One grant that a target accepted.
 *
 * @param service the service; not null
 * @param shard the shard
 * @param token the fencing token
 * @param target the target; not null
 * @param atNs {@link System#nanoTime()} when it came into force
 * @since 0.1
 */
public record GrantRecord(ServiceId service, int shard, long token, TargetId target, long atNs) {}
