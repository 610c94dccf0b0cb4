package io.cuminvalve.core.pace;

import io.cuminvalve.core.id.TargetId;

/**
 * A change of the share of one target.
 *
 * @param target the run of the target; not null
 * @param share the share of a warm target's requests from now on; above 0, at most 1
 * @param reason a stable word; not null
 * @since 0.2
 */
public record PaceStep(TargetId target, double share, String reason) {}
