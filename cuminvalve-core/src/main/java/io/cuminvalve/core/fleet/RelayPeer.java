package io.cuminvalve.core.fleet;

import io.cuminvalve.core.id.DataCentreId;

/**
 * A gateway that can send requests to targets for a gateway that has no path to them.
 *
 * @param address IP address and port on which it takes such requests; not null
 * @param dataCentre its data centre; not null
 * @since 0.2
 */
public record RelayPeer(String address, DataCentreId dataCentre) {}
