package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.quota.QuotaGrant;

/**
 * Reply to a {@link QuotaRequest}.
 *
 * @param target the target; not null
 * @param priority the priority from the request
 * @param grant the number of requests that may be sent; not null
 * @since 0.2
 */
public record QuotaReply(TargetId target, int priority, QuotaGrant grant) implements FleetMessage {}
