package io.cuminvalve.core.authority;

import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.TargetId;

/**
 * The answer to an order to a target, or to a probe.
 *
 * @param operationId from the effect
 * @param target the target; not null
 * @param outcome what is known; not null
 * @param incarnation the run of the target that answered; UNKNOWN without an answer; not null
 * @since 0.1
 */
public record TargetReply(
    long operationId, TargetId target, TargetOutcome outcome, Incarnation incarnation) {}
