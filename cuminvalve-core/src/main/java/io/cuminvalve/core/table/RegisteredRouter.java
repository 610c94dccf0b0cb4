package io.cuminvalve.core.table;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.RouterId;

/**
 * A router that is registered in the table, so that closing a version waits for it.
 *
 * @param id its identifier; not null
 * @param dataCentre the data centre it runs in; not null
 * @param peerAddress its IP address and port for connections of other routers and controllers; not
 *     null
 * @param witness whether it confirms route leases
 * @since 0.1
 */
public record RegisteredRouter(
    RouterId id, DataCentreId dataCentre, String peerAddress, boolean witness) {}
