package io.cuminvalve.config.admin;

import io.cuminvalve.core.id.TargetId;

/**
 * Asks the holder of the term to move everything off a target.
 *
 * @param target the target; not null
 * @param cancel true to end an earlier drain
 * @param requestedBy the operator; not null
 * @param reason why; not null, may be empty
 * @since 0.1
 */
public record DrainRequest(TargetId target, boolean cancel, String requestedBy, String reason) {}
