package io.cuminvalve.core.replay;

import io.cuminvalve.core.id.TargetId;

/**
 * A target of a trace.
 *
 * @param id its identifier; not null
 * @param slots its slots, at least 1
 * @since 0.1
 */
public record TraceTarget(TargetId id, int slots) {}
