package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.rule.RequestClass;

/**
 * A queued request for a slot.
 *
 * @param router the requesting router
 * @param incarnation the incarnation of that router
 * @param permit the number of the permit
 * @param tenant the tenant of the request
 * @param requestClass the class of the request
 * @param deadlineMs the deadline of the request on the gate's clock
 */
record Waiter(
    RouterId router,
    long incarnation,
    long permit,
    TenantId tenant,
    RequestClass requestClass,
    long deadlineMs) {

  boolean isPermit(RouterId otherRouter, long otherIncarnation, long otherPermit) {
    return permit == otherPermit && incarnation == otherIncarnation && router.equals(otherRouter);
  }
}
