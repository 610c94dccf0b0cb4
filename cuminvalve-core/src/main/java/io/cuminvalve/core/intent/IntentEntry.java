package io.cuminvalve.core.intent;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;

/**
 * State of one operation at a replica, as copied between replicas.
 *
 * @param operation the operation; not null
 * @param request the request that claimed it; not null
 * @param router the router that handles the request; not null
 * @param state CLAIMED until the outcome is known; not null
 * @param remainingMs how long the state remains valid: the time until the deadline of a claim, or
 *     the remaining retention time of an ended operation; milliseconds
 * @since 0.1
 */
public record IntentEntry(
    OperationId operation, RequestId request, RouterId router, State state, long remainingMs) {

  /** Progress of an operation. */
  public enum State {
    /** A request has claimed the operation and has not ended. */
    CLAIMED,
    /** The operation was executed. */
    RAN,
    /** The operation may have been executed. */
    MAY_HAVE_RUN
  }
}
