package io.cuminvalve.core.protocol;

import io.cuminvalve.core.quota.LimitReport;

/**
 * Sent by a gateway to the term holder to request quota for a target with a rate limit.
 *
 * @param limit the limit as known to the sender; not null
 * @param priority the priority of the requests; lower is more urgent
 * @param wanted number of requests ready to be sent
 * @param ahead number of further requests expected soon
 * @param coldMs for how long the target is still cold, which the limit is due to; milliseconds; 0
 *     if the target itself declares the limit
 * @since 0.2
 */
public record QuotaRequest(LimitReport limit, int priority, int wanted, int ahead, long coldMs)
    implements FleetMessage {}
