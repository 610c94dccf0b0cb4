package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.TargetId;

/**
 * Sent by any process to the holder of the term: another target answers at the address of this one,
 * so this one has ended and holds nothing.
 *
 * @param target the target that has ended; not null
 * @since 0.2
 */
public record TargetReplaced(TargetId target) implements FleetMessage {}
