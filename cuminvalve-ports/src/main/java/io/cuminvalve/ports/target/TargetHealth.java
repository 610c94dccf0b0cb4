package io.cuminvalve.ports.target;

import java.util.Optional;

/**
 * The result of a health query to a target.
 *
 * @param reply how the call ended, with the target's clock and incarnation; not null
 * @param state the reported state; empty if there was no usable response; not null
 * @param inFlight the reported number of requests in progress; 0 if there was no response
 * @param load the reported load; 0 if there was no response
 * @since 0.1
 */
public record TargetHealth(
    TargetReply reply, Optional<TargetState> state, int inFlight, double load) {}
