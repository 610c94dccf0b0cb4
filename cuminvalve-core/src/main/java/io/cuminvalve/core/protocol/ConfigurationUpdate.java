package io.cuminvalve.core.protocol;

/**
 * Sent by the holder of the term to all processes when the configuration changes, and with the
 * configuration itself to one that still lacks it a while later.
 *
 * <p>So a process whose own wait at the store fell silent looks again at once, and one that the
 * store does not answer has it all the same.
 *
 * @param revision the store's revision of the configuration; above 0
 * @param configuration the configuration as operators wrote it; empty if only its revision is told;
 *     not null
 * @since 0.2
 */
public record ConfigurationUpdate(long revision, byte[] configuration) implements FleetMessage {}
