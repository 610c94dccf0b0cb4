package io.cuminvalve.core.protocol;

import io.cuminvalve.core.quota.LimitReport;

/**
 * Sent by a gateway to the holder of the term: it has requests for a target with a limit.
 *
 * @param limit the limit, as the sender knows it; not null
 * @param priority the priority of the requests; lower is more urgent
 * @param wanted how many it would send now
 * @param ahead how many more are likely to come soon
 * @since 0.2
 */
public record QuotaRequest(LimitReport limit, int priority, int wanted, int ahead)
    implements FleetMessage {}
