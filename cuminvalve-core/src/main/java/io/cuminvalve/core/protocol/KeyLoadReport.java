package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.ServiceId;

/**
 * Sent by every process to the term holder: the load per key since the last report.
 *
 * @param service the service; not null
 * @param keys the keys; not null
 * @param workMs total request time for each key; milliseconds; not null, same length
 * @param requests number of requests for all keys together
 * @since 0.2
 */
public record KeyLoadReport(ServiceId service, int[] keys, int[] workMs, int requests)
    implements FleetMessage {}
