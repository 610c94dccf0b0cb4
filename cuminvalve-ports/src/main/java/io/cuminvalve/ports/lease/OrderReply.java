package io.cuminvalve.ports.lease;

import io.cuminvalve.core.lease.OrderOutcome;
import java.util.Optional;

/**
 * A target's reply to a lease order.
 *
 * @param outcome the outcome of the order; not null
 * @param handover data to pass to the next owner so that it starts with warm keys; not null
 * @param leaving whether the target reports that it is about to stop
 * @since 0.2
 */
public record OrderReply(OrderOutcome outcome, Optional<String> handover, boolean leaving) {}
