package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.TargetId;

/**
 * Sent by any process to the holder of the term: a target has asked this process for rest.
 *
 * @param process the sender's id; not null
 * @param target the run of the target; not null
 * @param leftMs for how long the sender still leaves it alone; milliseconds, at least 0
 * @since 0.2
 */
public record TargetRest(String process, TargetId target, long leftMs) implements FleetMessage {}
