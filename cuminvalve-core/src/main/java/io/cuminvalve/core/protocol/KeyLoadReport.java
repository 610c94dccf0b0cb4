package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.ServiceId;

/**
 * Sent by every process to the holder of the term: the work that keys caused since the last report.
 *
 * @param service the service; not null
 * @param keys the keys; not null
 * @param workMs the time that the requests of each took; milliseconds; not null, same length
 * @param requests how many requests that were, of all keys together
 * @since 0.2
 */
public record KeyLoadReport(ServiceId service, int[] keys, int[] workMs, int requests)
    implements FleetMessage {}
