package io.cuminvalve.core.protocol;

/**
 * Contains the sender's view of the fleet. Any process sends it in reply to a {@link FleetHello}
 * from a process that has no configuration, or neither targets nor routes.
 *
 * <p>It allows a process that starts while the store is unreachable to serve requests.
 *
 * @param configurationRevision the store revision of the configuration; 0 if none is known
 * @param configuration the configuration document as written by operators; not null, empty if none
 *     is known
 * @param holderAddress peer address of the term holder; empty if unknown; not null
 * @param targets the newest target list received from the holder; not null
 * @param routes the newest routes received from the holder; not null
 * @since 0.2
 */
public record FleetSnapshot(
    long configurationRevision,
    byte[] configuration,
    String holderAddress,
    TargetsPush targets,
    RoutesPush routes)
    implements FleetMessage {}
