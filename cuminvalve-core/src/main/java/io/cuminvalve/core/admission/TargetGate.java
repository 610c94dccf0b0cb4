package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.core.rule.RequestClass;
import io.cuminvalve.core.verdict.RefusalReason;
import java.util.ArrayList;
import java.util.List;

/**
 * Grants the slots of one target to all routers, with one queue per request class.
 *
 * <p>The number of permits in use never exceeds the number of slots. For permits that the gate may
 * not know of, slots stay reserved until those permits must have expired. Interactive requests are
 * served before deferrable ones, except for the share of slot time reserved for deferrable
 * requests; within a class, tenants are served by deficit round robin. A request that cannot end
 * before its deadline, given the measured service time, is refused immediately.
 *
 * <p>Not thread-safe: the caller serialises the calls to one gate. Granting a slot immediately
 * allocates no memory.
 *
 * @since 0.1
 */
public final class TargetGate {

  private static final long MIN_RETRY_AFTER_MS = 20;

  private final AdmissionSettings settings;
  private final RouterId self;
  private final GateSink sink;
  private final FairQueue interactive = new FairQueue();
  private final FairQueue deferrable = new FairQueue();
  private final ServiceTime interactiveTime = new ServiceTime();
  private final ServiceTime deferrableTime = new ServiceTime();
  private final List<Permit> inUse = new ArrayList<>();
  private final List<Permit> permitPool = new ArrayList<>();
  private final List<Reservation> reservations = new ArrayList<>();
  private int slots;
  private int localLimit;
  private int localInUse;
  private int deferrableInUse;
  private double deferrableCreditMs;
  private boolean open;

  /** A slot in use. Instances are pooled, so that granting allocates no memory. */
  private static final class Permit {

    private RouterId router;
    private long incarnation;
    private long number;
    private TenantId tenant;
    private RequestClass requestClass;
    private long expiresAtMs;
  }

  /**
   * Slots reserved for permits that this gate may not know of.
   *
   * @param holder the router that may hold the permits
   * @param count the number of slots
   * @param expiresAtMs when the permits must have expired
   */
  private record Reservation(RouterId holder, int count, long expiresAtMs) {}

  /**
   * Creates a gate that grants nothing until {@link #open}.
   *
   * @param settings limits and timeouts; not null
   * @param self the router that runs this gate; not null
   * @param slots the number of slots of the target; at least 1
   * @param localLimit the maximum number of slots for the gate's own router; limited because no
   *     other router knows of those permits if this router is lost; at least 1
   * @param sink receives the decisions; not null
   */
  public TargetGate(
      AdmissionSettings settings, RouterId self, int slots, int localLimit, GateSink sink) {
    this.settings = settings;
    this.self = self;
    this.slots = slots;
    this.localLimit = localLimit;
    this.sink = sink;
  }

  /**
   * Returns the number of permits in use.
   *
   * @return the number, without reserved slots
   */
  public int inUse() {
    return inUse.size();
  }

  /**
   * Returns the number of queued requests.
   *
   * @param requestClass the class; not null
   * @return the number
   */
  public int queued(RequestClass requestClass) {
    return queueOf(requestClass).size();
  }

  /**
   * Returns the number of permits in use by the gate's own router.
   *
   * @return the number
   */
  public int localInUse() {
    return localInUse;
  }

  /**
   * Starts granting. Call it once all permits in use are known or covered by reservations.
   *
   * @param nowMs the current time in milliseconds
   */
  public void open(long nowMs) {
    open = true;
    grantQueued(nowMs);
  }

  /**
   * Changes the number of slots.
   *
   * @param newSlots the number of slots of the target; at least 1
   * @param newLocalLimit the maximum number of slots for the gate's own router; at least 1
   * @param nowMs the current time in milliseconds
   */
  public void resize(int newSlots, int newLocalLimit, long nowMs) {
    slots = newSlots;
    localLimit = newLocalLimit;
    grantQueued(nowMs);
  }

  /**
   * Reserves slots for permits that this gate may not know of. If the target has several slots, one
   * of them always stays unreserved.
   *
   * @param holder the router that may hold the permits; not null
   * @param count the number of slots
   * @param expiresAtMs the end of the reservation
   */
  public void reserve(RouterId holder, int count, long expiresAtMs) {
    reservations.add(new Reservation(holder, count, expiresAtMs));
  }

  /**
   * Removes the reservations for a router that has reported its permits.
   *
   * @param holder the router; not null
   */
  public void clearReservations(RouterId holder) {
    reservations.removeIf(reservation -> reservation.holder().equals(holder));
  }

  /**
   * Records a permit that an earlier gate granted.
   *
   * @param router the router that holds it; not null
   * @param incarnation the incarnation of that router
   * @param number the number of the permit
   * @param expiresAtMs when the permit expires
   */
  public void adopt(RouterId router, long incarnation, long number, long expiresAtMs) {
    if (find(router, incarnation, number) == null) {
      markInUse(router, incarnation, number, null, RequestClass.INTERACTIVE, expiresAtMs);
    }
  }

  /**
   * Requests a slot. Repeating the request for the same permit repeats the decision.
   *
   * @param router the requesting router; not null
   * @param incarnation the incarnation of that router
   * @param number the number of the permit, unique within the incarnation
   * @param tenant the tenant of the request; not null
   * @param requestClass the class of the request; not null
   * @param deadlineMs the deadline on the gate's clock
   * @param nowMs the current time in milliseconds
   */
  public void request(
      RouterId router,
      long incarnation,
      long number,
      TenantId tenant,
      RequestClass requestClass,
      long deadlineMs,
      long nowMs) {
    if (find(router, incarnation, number) != null) {
      sink.granted(router, incarnation, number);
      return;
    }
    FairQueue queue = queueOf(requestClass);
    long boundedDeadlineMs = Math.min(deadlineMs, nowMs + settings.maxPermitMs());
    if (queue.size() == 0 && canGrantNow(router, requestClass)) {
      if (cannotMeetDeadline(requestClass, 0, boundedDeadlineMs, nowMs)) {
        refuse(router, incarnation, number, RefusalReason.DEADLINE_UNREACHABLE, 0);
        return;
      }
      grant(router, incarnation, number, tenant, requestClass, boundedDeadlineMs);
      return;
    }
    if (queue.find(router, incarnation, number) != null) {
      sink.queued(router, incarnation, number);
      return;
    }
    enqueue(
        new Waiter(router, incarnation, number, tenant, requestClass, boundedDeadlineMs), nowMs);
  }

  /**
   * Returns a slot. No part of its request may still be in flight.
   *
   * @param router the router that held the permit; not null
   * @param incarnation the incarnation of that router
   * @param number the number of the permit
   * @param slotUse how the slot was used; not null
   * @param serviceMs the service time in milliseconds, from the first byte to the end
   * @param nowMs the current time in milliseconds
   */
  public void release(
      RouterId router, long incarnation, long number, SlotUse slotUse, long serviceMs, long nowMs) {
    Permit permit = find(router, incarnation, number);
    if (permit == null) {
      withdraw(router, incarnation, number, nowMs);
      return;
    }
    if (slotUse == SlotUse.ANSWERED || slotUse == SlotUse.ABANDONED) {
      ServiceTime time = serviceTimeOf(permit.requestClass);
      double expectedMs = time.meanMs();
      time.add(serviceMs);
      if (permit.tenant != null) {
        queueOf(permit.requestClass).charge(permit.tenant, serviceMs - expectedMs, time.meanMs());
      }
    }
    releaseSlot(permit);
    grantQueued(nowMs);
  }

  /**
   * Removes a queued request, or returns its slot if it was already granted.
   *
   * @param router the requesting router; not null
   * @param incarnation the incarnation of that router
   * @param number the number of the permit
   * @param nowMs the current time in milliseconds
   */
  public void withdraw(RouterId router, long incarnation, long number, long nowMs) {
    Permit permit = find(router, incarnation, number);
    if (permit != null) {
      releaseSlot(permit);
    }
    interactive.removeIf(w -> w.isPermit(router, incarnation, number), w -> {});
    deferrable.removeIf(w -> w.isPermit(router, incarnation, number), w -> {});
    grantQueued(nowMs);
  }

  /**
   * Removes the queued requests of ended incarnations of a router. Its permits stay in use until
   * they expire, because the target may still be working on those requests.
   *
   * @param router the router; not null
   * @param currentIncarnation the current incarnation of the router; 0 if it has none
   */
  public void onRouterLost(RouterId router, long currentIncarnation) {
    interactive.removeIf(w -> isOfPreviousIncarnation(w, router, currentIncarnation), w -> {});
    deferrable.removeIf(w -> isOfPreviousIncarnation(w, router, currentIncarnation), w -> {});
  }

  /**
   * Releases expired permits and refuses queued requests that cannot meet their deadlines.
   *
   * @param nowMs the current time in milliseconds
   */
  public void tick(long nowMs) {
    reservations.removeIf(reservation -> nowMs >= reservation.expiresAtMs());
    for (int i = inUse.size() - 1; i >= 0; i--) {
      if (nowMs >= inUse.get(i).expiresAtMs) {
        releaseSlot(inUse.get(i));
      }
    }
    shed(interactive, nowMs);
    shed(deferrable, nowMs);
    grantQueued(nowMs);
  }

  /**
   * Lists the permits of one router.
   *
   * @param router the router; not null
   * @param visitor receives number and expiry time of each permit; not null
   */
  void forEachPermitOf(RouterId router, PermitVisitor visitor) {
    for (Permit permit : inUse) {
      if (permit.router.equals(router)) {
        visitor.visit(permit.number, permit.expiresAtMs);
      }
    }
  }

  /**
   * Removes and returns the queued requests of one router.
   *
   * @param router the router; not null
   * @return the requests in no particular order
   */
  List<Waiter> takeWaitersOf(RouterId router) {
    List<Waiter> taken = new ArrayList<>();
    interactive.removeIf(waiter -> waiter.router().equals(router), taken::add);
    deferrable.removeIf(waiter -> waiter.router().equals(router), taken::add);
    return taken;
  }

  /** Receives permits. */
  @FunctionalInterface
  interface PermitVisitor {

    /** Visits one permit. */
    void visit(long number, long expiresAtMs);
  }

  private void enqueue(Waiter waiter, long nowMs) {
    FairQueue queue = queueOf(waiter.requestClass());
    if (cannotMeetDeadline(
        waiter.requestClass(), expectedPosition(waiter), waiter.deadlineMs(), nowMs)) {
      refuse(waiter, RefusalReason.DEADLINE_UNREACHABLE);
      return;
    }
    if (queue.size() >= settings.maxQueuedPerSlot() * slots) {
      Waiter displaced = queue.pollFromLongest(queue.sizeOf(waiter.tenant()) + 1);
      refuse(displaced == null ? waiter : displaced, RefusalReason.QUEUE_FULL);
      if (displaced == null) {
        return;
      }
    }
    queue.add(waiter);
    sink.queued(waiter.router(), waiter.incarnation(), waiter.permit());
    grantQueued(nowMs);
  }

  /** Returns the expected position of a new request in the order of service, counted from 1. */
  private int expectedPosition(Waiter waiter) {
    FairQueue queue = queueOf(waiter.requestClass());
    int own = queue.sizeOf(waiter.tenant());
    int tenants = queue.activeTenants() + (own == 0 ? 1 : 0);
    return Math.min(queue.size() + 1, (own + 1) * tenants);
  }

  /**
   * Returns whether a request cannot end before its deadline. The estimate may be out of date, and
   * without requests in flight nothing would correct it. An idle target therefore accepts any
   * request whose deadline has not passed.
   */
  private boolean cannotMeetDeadline(
      RequestClass requestClass, int position, long deadlineMs, long nowMs) {
    if (nowMs >= deadlineMs) {
      return true;
    }
    if (inUse.isEmpty()) {
      return false;
    }
    ServiceTime time = serviceTimeOf(requestClass);
    double waitMs = position * time.meanMs() / slots;
    return nowMs + waitMs + time.lowMs() > deadlineMs;
  }

  /** Removes all late requests before reporting any, since the sink may call this gate again. */
  private void shed(FairQueue queue, long nowMs) {
    if (queue.size() == 0) {
      return;
    }
    List<Waiter> late = new ArrayList<>();
    queue.removeIf(
        waiter -> cannotMeetDeadline(waiter.requestClass(), 0, waiter.deadlineMs(), nowMs),
        late::add);
    late.forEach(waiter -> refuse(waiter, RefusalReason.DEADLINE_UNREACHABLE));
  }

  private void grantQueued(long nowMs) {
    while (open && freeSlots() > 0) {
      Waiter next = pollNext();
      if (next == null) {
        return;
      }
      if (cannotMeetDeadline(next.requestClass(), 0, next.deadlineMs(), nowMs)) {
        refuse(next, RefusalReason.DEADLINE_UNREACHABLE);
        continue;
      }
      grant(
          next.router(),
          next.incarnation(),
          next.permit(),
          next.tenant(),
          next.requestClass(),
          next.deadlineMs());
    }
  }

  private Waiter pollNext() {
    boolean deferrableReady = deferrable.size() > 0 && deferrableInUse < deferrableLimit();
    double creditNeededMs = (1 - settings.deferrableShare()) * deferrableTime.meanMs();
    if (deferrableReady && (interactive.size() == 0 || deferrableCreditMs >= creditNeededMs)) {
      Waiter next = pollEligible(deferrable, deferrableTime.meanMs());
      if (next != null) {
        deferrableCreditMs = Math.max(0, deferrableCreditMs - creditNeededMs);
        return next;
      }
    }
    if (interactive.size() == 0) {
      return null;
    }
    if (deferrable.size() > 0) {
      deferrableCreditMs += settings.deferrableShare() * interactiveTime.meanMs();
    }
    return pollEligible(interactive, interactiveTime.meanMs());
  }

  private Waiter pollEligible(FairQueue queue, double costMs) {
    return queue.poll(costMs, localInUse >= localLimit ? self : null);
  }

  private boolean canGrantNow(RouterId router, RequestClass requestClass) {
    return open
        && freeSlots() > 0
        && !isLocalLimitReached(router)
        && (requestClass == RequestClass.INTERACTIVE
            || (interactive.size() == 0 && deferrableInUse < deferrableLimit()));
  }

  private boolean isLocalLimitReached(RouterId router) {
    return localInUse >= localLimit && router.equals(self);
  }

  /** Keeps one slot for interactive requests if there are at least two slots. */
  private int deferrableLimit() {
    return Math.max(1, slots - 1);
  }

  private int freeSlots() {
    int reserved = 0;
    for (int i = 0; i < reservations.size(); i++) {
      reserved += reservations.get(i).count();
    }
    return slots - inUse.size() - Math.min(reserved, Math.max(1, slots - 1));
  }

  private void grant(
      RouterId router,
      long incarnation,
      long number,
      TenantId tenant,
      RequestClass requestClass,
      long deadlineMs) {
    long expiresAtMs = deadlineMs + settings.closeGraceMs();
    markInUse(router, incarnation, number, tenant, requestClass, expiresAtMs);
    sink.granted(router, incarnation, number);
  }

  private void markInUse(
      RouterId router,
      long incarnation,
      long number,
      TenantId tenant,
      RequestClass requestClass,
      long expiresAtMs) {
    Permit permit = permitPool.isEmpty() ? new Permit() : permitPool.remove(permitPool.size() - 1);
    permit.router = router;
    permit.incarnation = incarnation;
    permit.number = number;
    permit.tenant = tenant;
    permit.requestClass = requestClass;
    permit.expiresAtMs = expiresAtMs;
    inUse.add(permit);
    localInUse += router.equals(self) ? 1 : 0;
    deferrableInUse += requestClass == RequestClass.DEFERRABLE ? 1 : 0;
  }

  private void releaseSlot(Permit permit) {
    inUse.remove(permit);
    localInUse -= permit.router.equals(self) ? 1 : 0;
    deferrableInUse -= permit.requestClass == RequestClass.DEFERRABLE ? 1 : 0;
    permitPool.add(permit);
  }

  private Permit find(RouterId router, long incarnation, long number) {
    for (int i = 0; i < inUse.size(); i++) {
      Permit permit = inUse.get(i);
      if (permit.number == number
          && permit.incarnation == incarnation
          && permit.router.equals(router)) {
        return permit;
      }
    }
    return null;
  }

  private void refuse(Waiter waiter, RefusalReason reason) {
    double drainMs =
        queueOf(waiter.requestClass()).size()
            * serviceTimeOf(waiter.requestClass()).meanMs()
            / slots;
    refuse(waiter.router(), waiter.incarnation(), waiter.permit(), reason, Math.round(drainMs));
  }

  private void refuse(
      RouterId router, long incarnation, long number, RefusalReason reason, long drainMs) {
    long retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, drainMs);
    sink.refused(router, incarnation, number, reason, retryAfterMs);
  }

  private FairQueue queueOf(RequestClass requestClass) {
    return requestClass == RequestClass.INTERACTIVE ? interactive : deferrable;
  }

  private ServiceTime serviceTimeOf(RequestClass requestClass) {
    return requestClass == RequestClass.INTERACTIVE ? interactiveTime : deferrableTime;
  }

  private static boolean isOfPreviousIncarnation(Waiter waiter, RouterId router, long current) {
    return waiter.router().equals(router) && waiter.incarnation() != current;
  }
}
