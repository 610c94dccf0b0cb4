package io.cuminvalve.ports.target;

import java.util.Optional;

/**
 * The end of a question for a target's health.
 *
 * @param reply how the call ended, with the target's clock and incarnation; not null
 * @param state what the target says of itself; empty if there was no answer; not null
 * @param inFlight requests in work, as the target says; 0 if there was no answer
 * @param load what the target says of its load; 0 if there was no answer
 * @since 0.1
 */
public record TargetHealth(
    TargetReply reply, Optional<TargetState> state, int inFlight, double load) {}
