package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.TargetId;

/**
 * Sent by any process to the term holder: another target responds at this target's address, so this
 * target has ended and holds no leases.
 *
 * @param target the target that has ended; not null
 * @since 0.2
 */
public record TargetReplaced(TargetId target) implements FleetMessage {}
