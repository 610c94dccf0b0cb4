package io.cuminvalve.core.inventory;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;

/**
 * One instance of a service: a target.
 *
 * @param id its identifier; not null
 * @param service the service it belongs to; not null
 * @param dataCentre the data centre it runs in; not null
 * @param address its IP address and port, such as {@code 127.0.0.1:9001}; not null
 * @param slots how many requests it processes concurrently; at least 1
 * @param maxConnections how many connections it accepts; at least 1
 * @since 0.1
 */
public record Instance(
    TargetId id,
    ServiceId service,
    DataCentreId dataCentre,
    String address,
    int slots,
    int maxConnections) {}
