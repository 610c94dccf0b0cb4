package io.cuminvalve.core.protocol;

/**
 * Sent by a new term holder to the previous one: its term has ended.
 *
 * @param term the term of the new holder
 * @since 0.2
 */
public record TermSuperseded(long term) implements FleetMessage {}
