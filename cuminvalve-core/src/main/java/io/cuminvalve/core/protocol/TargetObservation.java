package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.TargetId;

/**
 * The state of one target as observed by one router through its own requests and probes.
 *
 * @param target the target; not null
 * @param incarnation the incarnation of the target as last seen; not null
 * @param lastAnswerAgeMs time since the last response; milliseconds; {@link Long#MAX_VALUE} if
 *     there was none
 * @param unansweredMs age of the oldest request or probe that is still unanswered; milliseconds; 0
 *     if none
 * @param refused whether the last connection attempt was refused, which means that nothing listens
 *     there
 * @param inFlight number of requests of this router in flight at the target
 * @since 0.1
 */
public record TargetObservation(
    TargetId target,
    Incarnation incarnation,
    long lastAnswerAgeMs,
    long unansweredMs,
    boolean refused,
    int inFlight) {}
