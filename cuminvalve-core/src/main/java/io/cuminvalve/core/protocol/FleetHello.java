package io.cuminvalve.core.protocol;

/**
 * Sent by every process to the holder of the term, again and again: what it knows, so that the
 * holder sends what it lacks.
 *
 * @param process the sender's id; not null
 * @param targetsTerm the term under which it learned of the targets; 0 if it knows none
 * @param targetsVersion the version of the targets that it knows
 * @param routesTerm the term under which it learned of the owners; 0 if it knows none
 * @param routesVersion the version of the owners that it knows
 * @param configurationRevision the store's revision of the configuration that it knows; 0 if none
 * @param dataCentre where the sender runs; not null
 * @param processorCores how many cores it may use
 * @param crashDigest tells whether both watch the same requests for crashes; 0 if it watches none
 * @param limitDigest tells whether both know the same limits of targets; 0 if it knows none
 * @param sentMs when it was sent, by the sender's clock, for the answer to repeat; milliseconds
 * @param departureDigest tells whether both know the same targets that leave; 0 if it knows none
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
    long departureDigest)
    implements FleetMessage {}
