package io.cuminvalve.core.protocol;

/**
 * Sent by a new holder of the term to the one before: its term is over.
 *
 * @param term the new holder's term
 * @since 0.2
 */
public record TermSuperseded(long term) implements FleetMessage {}
