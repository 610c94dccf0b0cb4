package io.cuminvalve.core.protocol;

import io.cuminvalve.core.quota.LimitReport;

/**
 * Sent by a gateway to the term holder to request quota for a target with a rate limit.
 *
 * @param limit the limit as known to the sender; not null
 * @param priority the priority of the requests; lower is more urgent
 * @param wanted number of requests ready to be sent
 * @param ahead number of further requests expected soon
 * @since 0.2
 */
public record QuotaRequest(LimitReport limit, int priority, int wanted, int ahead)
    implements FleetMessage {}
