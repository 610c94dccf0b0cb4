package io.cuminvalve.core.replay;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.rule.RequestClass;
import java.util.List;

/**
 * Something that happened to the request path.
 *
 * @since 0.1
 */
public sealed interface TraceEvent {

  /**
   * Returns when it happened.
   *
   * @return milliseconds since the start of the trace
   */
  long atMs();

  /**
   * The inventory of the cell.
   *
   * @param atMs when; milliseconds
   * @param targets all targets; not null
   */
  record Targets(long atMs, List<TraceTarget> targets) implements TraceEvent {}

  /**
   * A table version with these registered routers; each that does not run is started.
   *
   * @param atMs when; milliseconds
   * @param routers all routers; not null
   */
  record Routers(long atMs, List<RouterId> routers) implements TraceEvent {}

  /**
   * A request arrived at a router.
   *
   * @param atMs when; milliseconds
   * @param request its identifier, unique in the trace; not null
   * @param router the router; not null
   * @param target the owner of its shard; not null
   * @param tenant on whose behalf; not null
   * @param requestClass how urgent; not null
   * @param idempotent whether it may be sent again
   * @param idempotencyKey the caller's key; empty if there is none
   * @param timeoutMs milliseconds until its deadline
   * @param serviceMs how long the target works on it; milliseconds
   */
  record Arrival(
      long atMs,
      RequestId request,
      RouterId router,
      TargetId target,
      TenantId tenant,
      RequestClass requestClass,
      boolean idempotent,
      String idempotencyKey,
      long timeoutMs,
      long serviceMs)
      implements TraceEvent {}

  /**
   * A caller went away.
   *
   * @param atMs when; milliseconds
   * @param request its request; not null
   */
  record CallerGone(long atMs, RequestId request) implements TraceEvent {}

  /**
   * A target began to behave in another way.
   *
   * @param atMs when; milliseconds
   * @param target the target; not null
   * @param state how it behaves from then on; not null
   */
  record TargetChanged(long atMs, TargetId target, TargetState state) implements TraceEvent {}

  /**
   * A router was lost, with the connections of its callers.
   *
   * @param atMs when; milliseconds
   * @param router the router; not null
   */
  record RouterLost(long atMs, RouterId router) implements TraceEvent {}

  /**
   * A router began to stop.
   *
   * @param atMs when; milliseconds
   * @param router the router; not null
   */
  record RouterStopping(long atMs, RouterId router) implements TraceEvent {}
}
