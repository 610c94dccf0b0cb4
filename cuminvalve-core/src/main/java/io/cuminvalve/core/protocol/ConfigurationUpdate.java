package io.cuminvalve.core.protocol;

/**
 * Announces a configuration change. The term holder sends the revision to all processes, and later
 * the full configuration to each process that still lacks it.
 *
 * <p>A process whose store watch has stalled thereby rereads the store at once, and a process that
 * cannot reach the store still receives the configuration.
 *
 * @param revision the store revision of the configuration; above 0
 * @param configuration the configuration document as written by operators; empty if only the
 *     revision is announced; not null
 * @since 0.2
 */
public record ConfigurationUpdate(long revision, byte[] configuration) implements FleetMessage {}
