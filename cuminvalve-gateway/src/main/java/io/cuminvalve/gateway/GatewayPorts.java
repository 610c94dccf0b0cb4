package io.cuminvalve.gateway;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.ports.fleet.TargetRegistry;
import io.cuminvalve.ports.lease.LeaseControl;
import io.cuminvalve.ports.store.KeyValueStore;
import java.util.Set;
import java.util.function.Function;

/**
 * The external dependencies of a gateway.
 *
 * @param store the store of persistent state; not null
 * @param configurationKey the store key, or directory, with what operators write; not null
 * @param configurationDecoder decodes the configuration; throws a CodedException with INVALID_INPUT
 *     if it is invalid; not null
 * @param evacuationDecoder decodes the data centres that operators evacuate; not null
 * @param registry the registry of targets; not null
 * @param leases controls the leases at targets; not null
 * @param answers decodes the response heads of targets; not null
 * @since 0.2
 */
public record GatewayPorts(
    KeyValueStore store,
    String configurationKey,
    Function<byte[], RoutingConfiguration> configurationDecoder,
    Function<byte[], Set<DataCentreId>> evacuationDecoder,
    TargetRegistry registry,
    LeaseControl leases,
    AnswerDecoder answers) {}
