package io.cuminvalve.gateway;

import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.ports.fleet.TargetRegistry;
import io.cuminvalve.ports.lease.LeaseControl;
import io.cuminvalve.ports.store.KeyValueStore;
import java.util.function.Function;

/**
 * What a gateway needs from outside.
 *
 * @param store keeps what must last; not null
 * @param configurationKey where operators write the configuration in the store; not null
 * @param configurationDecoder reads it; throws a CodedException with INVALID_INPUT if it cannot;
 *     not null
 * @param registry where targets announce themselves; not null
 * @param leases gives orders to targets; not null
 * @param answers reads what targets say in their answers; not null
 * @since 0.2
 */
public record GatewayPorts(
    KeyValueStore store,
    String configurationKey,
    Function<byte[], RoutingConfiguration> configurationDecoder,
    TargetRegistry registry,
    LeaseControl leases,
    AnswerDecoder answers) {}
