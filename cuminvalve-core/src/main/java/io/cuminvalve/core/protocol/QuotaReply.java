package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.quota.QuotaGrant;

/**
 * Answers a {@link QuotaRequest}.
 *
 * @param target the target; not null
 * @param priority the priority that was asked for
 * @param grant how many requests may be sent; not null
 * @since 0.2
 */
public record QuotaReply(TargetId target, int priority, QuotaGrant grant) implements FleetMessage {}
