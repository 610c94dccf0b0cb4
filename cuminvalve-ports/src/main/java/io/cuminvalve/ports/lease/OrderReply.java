package io.cuminvalve.ports.lease;

import io.cuminvalve.core.lease.OrderOutcome;
import java.util.Optional;

/**
 * How a target answered an order.
 *
 * @param outcome what came of it; not null
 * @param handover what the next owner has to be given so that the keys are warm; not null
 * @param leaving whether the target says that it is about to end
 * @since 0.2
 */
public record OrderReply(OrderOutcome outcome, Optional<String> handover, boolean leaving) {}
