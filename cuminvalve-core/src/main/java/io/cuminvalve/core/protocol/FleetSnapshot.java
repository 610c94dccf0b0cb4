package io.cuminvalve.core.protocol;

/**
 * Sent by any process to one that asks and does not hold the term: what it knows.
 *
 * <p>So a process that starts while the store is out of reach can serve.
 *
 * @param configurationRevision the store's revision of the configuration; 0 if none is known
 * @param configuration the configuration as operators wrote it; not null, empty if none is known
 * @param holderAddress the peer address of the holder of the term; empty if unknown; not null
 * @param targets the newest targets from the holder; not null
 * @param routes the newest owners from the holder; not null
 * @since 0.2
 */
public record FleetSnapshot(
    long configurationRevision,
    byte[] configuration,
    String holderAddress,
    TargetsPush targets,
    RoutesPush routes)
    implements FleetMessage {}
