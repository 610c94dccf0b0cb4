package io.cuminvalve.core.protocol;

/**
 * Sent periodically by every process to the term holder. It lists the versions that the sender has,
 * so that the holder can send newer ones.
 *
 * @param process the sender's id; not null
 * @param targetsTerm the term of the sender's target list; 0 if it has none
 * @param targetsVersion the version of the sender's target list
 * @param routesTerm the term of the sender's routes; 0 if it has none
 * @param routesVersion the version of the sender's routes
 * @param configurationRevision the store revision of the sender's configuration; 0 if none
 * @param dataCentre the sender's data centre; not null
 * @param processorCores number of processor cores available to the sender
 * @param crashDigest digest of the crash watch list, compared with the receiver's; 0 if the list is
 *     empty
 * @param limitDigest digest of the known target limits, compared with the receiver's; 0 if none are
 *     known
 * @param sentMs send time on the sender's clock, echoed in the reply; milliseconds
 * @param departureDigest digest of the known departing targets, compared with the receiver's; 0 if
 *     none are known
 * @param relayAddress where the sender takes requests of gateways that have no path to targets;
 *     empty if it takes none; not null
 * @param reachableTargets number of targets that the sender reaches, as far as it knows
 * @param unreachableTargets number of targets that the sender does not reach
 * @since 0.2
 */
public record FleetHello(
    String process,
    long targetsTerm,
    long targetsVersion,
    long routesTerm,
    long routesVersion,
    long configurationRevision,
    String dataCentre,
    double processorCores,
    long crashDigest,
    long limitDigest,
    long sentMs,
    long departureDigest,
    String relayAddress,
    int reachableTargets,
    int unreachableTargets)
    implements FleetMessage {}
