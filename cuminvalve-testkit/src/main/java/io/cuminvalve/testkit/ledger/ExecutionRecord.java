package io.cuminvalve.testkit.ledger;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;

/**
 * One execution that a target began.
 *
 * @param operation the caller's name for the operation; not null
 * @param repeatable false if a second execution does harm
 * @param service the service; not null
 * @param shard the shard
 * @param token the fencing token that the request carried
 * @param target the target; not null
 * @param granted whether the target held a grant for exactly this shard and token
 * @param sinceDrainMs how long ago the target began to leave, or -1 if it is not leaving
 * @param atNs {@link System#nanoTime()} when it began
 * @since 0.1
 */
public record ExecutionRecord(
    String operation,
    boolean repeatable,
    ServiceId service,
    int shard,
    long token,
    TargetId target,
    boolean granted,
    long sinceDrainMs,
    long atNs) {}
