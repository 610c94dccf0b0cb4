package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.core.rule.RequestClass;
import io.cuminvalve.core.verdict.RefusalReason;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the slots of one target for all routers, with one queue per class.
 *
 * <p>Never more permits are in use than the target has slots. Permits that the gate cannot know of
 * count as reserved until they have certainly ended. The order of service: interactive before
 * deferrable, apart from the share that deferrable work has; within a class, deficit round robin
 * over tenants. A request that cannot end before its deadline by the measured service time is
 * refused at once.
 *
 * <p>Not thread-safe: the caller serialises the calls of one gate. A request that gets its slot at
 * once allocates nothing.
 *
 * @since 0.1
 */
public final class TargetGate {

  private static final long SHORTEST_RETRY_AFTER_MS = 20;

  private final AdmissionSettings settings;
  private final RouterId self;
  private final GateSink sink;
  private final FairQueue interactive = new FairQueue();
  private final FairQueue deferrable = new FairQueue();
  private final ServiceTime interactiveTime = new ServiceTime();
  private final ServiceTime deferrableTime = new ServiceTime();
  private final List<Permit> inUse = new ArrayList<>();
  private final List<Permit> unused = new ArrayList<>();
  private final List<Reserve> reserves = new ArrayList<>();
  private int slots;
  private int localLimit;
  private int localInUse;
  private int deferrableInUse;
  private double deferrableCreditMs;
  private boolean open;

  /** A slot in use. Mutable and reused, so that granting allocates nothing. */
  private static final class Permit {

    private RouterId router;
    private long incarnation;
    private long number;
    private TenantId tenant;
    private RequestClass requestClass;
    private long endsAtMs;
  }

  /**
   * Slots that permits unknown to this gate may use.
   *
   * @param holder the router that may hold them
   * @param count how many
   * @param endsAtMs when they have certainly ended
   */
  private record Reserve(RouterId holder, int count, long endsAtMs) {}

  /**
   * Creates a gate that grants nothing until {@link #open}.
   *
   * @param settings limits and times; not null
   * @param self the router that runs it; not null
   * @param slots the slots of the target, at least 1
   * @param localLimit how many of them the router that runs the gate may use itself: after its loss
   *     nobody else knows of those; at least 1
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
   * Returns how many permits are in use.
   *
   * @return without reserved slots
   */
  public int inUse() {
    return inUse.size();
  }

  /**
   * Returns how many requests wait.
   *
   * @param requestClass the class; not null
   * @return their number
   */
  public int queued(RequestClass requestClass) {
    return queueOf(requestClass).size();
  }

  /**
   * Returns how many permits the router that runs the gate uses.
   *
   * @return their number
   */
  public int localInUse() {
    return localInUse;
  }

  /**
   * Starts granting: all permits in use are known or reserved.
   *
   * @param nowMs the current time in milliseconds
   */
  public void open(long nowMs) {
    open = true;
    serve(nowMs);
  }

  /**
   * Changes the size of the target.
   *
   * @param newSlots slots, at least 1
   * @param newLocalLimit how many of them the router that runs the gate may use, at least 1
   * @param nowMs the current time in milliseconds
   */
  public void resize(int newSlots, int newLocalLimit, long nowMs) {
    slots = newSlots;
    localLimit = newLocalLimit;
    serve(nowMs);
  }

  /**
   * Keeps slots free for permits that this gate cannot know of. One slot of several stays usable.
   *
   * @param holder the router that may hold them; not null
   * @param count how many
   * @param endsAtMs until when
   */
  public void reserve(RouterId holder, int count, long endsAtMs) {
    reserves.add(new Reserve(holder, count, endsAtMs));
  }

  /**
   * Gives up what was kept free for a router, because it has told its permits.
   *
   * @param holder the router; not null
   */
  public void clearReserve(RouterId holder) {
    reserves.removeIf(reserve -> reserve.holder().equals(holder));
  }

  /**
   * Records a permit that an earlier gate granted.
   *
   * @param router the router that holds it; not null
   * @param incarnation its run
   * @param number the number of the permit
   * @param endsAtMs when it has certainly ended
   */
  public void adopt(RouterId router, long incarnation, long number, long endsAtMs) {
    if (find(router, incarnation, number) == null) {
      use(router, incarnation, number, null, RequestClass.INTERACTIVE, endsAtMs);
    }
  }

  /**
   * Asks for a slot. Asking again for the same permit repeats the decision.
   *
   * @param router the router that asks; not null
   * @param incarnation its run
   * @param number the number of the permit, unique within the run
   * @param tenant on whose behalf; not null
   * @param requestClass how urgent; not null
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
    if (queue.size() == 0 && mayUse(router, requestClass)) {
      if (isHopeless(requestClass, 0, boundedDeadlineMs, nowMs)) {
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
   * Returns a slot: nothing of its request is in flight.
   *
   * @param router the router that held it; not null
   * @param incarnation its run
   * @param number the number of the permit
   * @param slotUse how it was used; not null
   * @param serviceMs milliseconds from the first byte to the end
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
      ServiceTime time = timeOf(permit.requestClass);
      double expectedMs = time.meanMs();
      time.add(serviceMs);
      if (permit.tenant != null) {
        queueOf(permit.requestClass).charge(permit.tenant, serviceMs - expectedMs, time.meanMs());
      }
    }
    free(permit);
    serve(nowMs);
  }

  /**
   * Forgets a request that waits, or returns the slot that its router does not want any more.
   *
   * @param router the router that asked; not null
   * @param incarnation its run
   * @param number the number of the permit
   * @param nowMs the current time in milliseconds
   */
  public void withdraw(RouterId router, long incarnation, long number, long nowMs) {
    Permit permit = find(router, incarnation, number);
    if (permit != null) {
      free(permit);
    }
    interactive.removeIf(w -> w.isPermit(router, incarnation, number), w -> {});
    deferrable.removeIf(w -> w.isPermit(router, incarnation, number), w -> {});
    serve(nowMs);
  }

  /**
   * Forgets the waiting requests of a run of a router that ended. Its permits stay in use until
   * their deadlines: the target may still work on them.
   *
   * @param router the router; not null
   * @param currentIncarnation its current run; 0 if it has none
   */
  public void onRouterLost(RouterId router, long currentIncarnation) {
    interactive.removeIf(w -> isOfEarlierRun(w, router, currentIncarnation), w -> {});
    deferrable.removeIf(w -> isOfEarlierRun(w, router, currentIncarnation), w -> {});
  }

  /**
   * Ends permits past their time and refuses requests that cannot be served in time any more.
   *
   * @param nowMs the current time in milliseconds
   */
  public void tick(long nowMs) {
    reserves.removeIf(reserve -> nowMs >= reserve.endsAtMs());
    for (int i = inUse.size() - 1; i >= 0; i--) {
      if (nowMs >= inUse.get(i).endsAtMs) {
        free(inUse.get(i));
      }
    }
    shed(interactive, nowMs);
    shed(deferrable, nowMs);
    serve(nowMs);
  }

  /**
   * Lists the permits of one router.
   *
   * @param router the router; not null
   * @param visitor receives number and end of each permit; not null
   */
  void forEachPermitOf(RouterId router, PermitVisitor visitor) {
    for (Permit permit : inUse) {
      if (permit.router.equals(router)) {
        visitor.visit(permit.number, permit.endsAtMs);
      }
    }
  }

  /**
   * Takes the waiting requests of one router out of the queues.
   *
   * @param router the router; not null
   * @return in no particular order
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
    void visit(long number, long endsAtMs);
  }

  private void enqueue(Waiter waiter, long nowMs) {
    FairQueue queue = queueOf(waiter.requestClass());
    if (isHopeless(waiter.requestClass(), placeOf(waiter), waiter.deadlineMs(), nowMs)) {
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
    serve(nowMs);
  }

  /** Returns how many requests of its class are served before a new one of its tenant, and it. */
  private int placeOf(Waiter waiter) {
    FairQueue queue = queueOf(waiter.requestClass());
    int own = queue.sizeOf(waiter.tenant());
    int tenants = queue.activeTenants() + (own == 0 ? 1 : 0);
    return Math.min(queue.size() + 1, (own + 1) * tenants);
  }

  /**
   * Tells whether a request cannot end in time. The mean may be out of date: with no request in
   * flight nothing would correct it, so then nothing is hopeless before its deadline.
   */
  private boolean isHopeless(RequestClass requestClass, int place, long deadlineMs, long nowMs) {
    if (nowMs >= deadlineMs) {
      return true;
    }
    if (inUse.isEmpty()) {
      return false;
    }
    ServiceTime time = timeOf(requestClass);
    double waitMs = place * time.meanMs() / slots;
    return nowMs + waitMs + time.lowMs() > deadlineMs;
  }

  /** Collects before it reports, so that the receiver may call this gate again. */
  private void shed(FairQueue queue, long nowMs) {
    if (queue.size() == 0) {
      return;
    }
    List<Waiter> hopeless = new ArrayList<>();
    queue.removeIf(
        waiter -> isHopeless(waiter.requestClass(), 0, waiter.deadlineMs(), nowMs), hopeless::add);
    hopeless.forEach(waiter -> refuse(waiter, RefusalReason.DEADLINE_UNREACHABLE));
  }

  private void serve(long nowMs) {
    while (open && freeSlots() > 0) {
      Waiter next = pollNext();
      if (next == null) {
        return;
      }
      if (isHopeless(next.requestClass(), 0, next.deadlineMs(), nowMs)) {
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
    double dueMs = (1 - settings.deferrableShare()) * deferrableTime.meanMs();
    if (deferrableReady && (interactive.size() == 0 || deferrableCreditMs >= dueMs)) {
      Waiter next = pollAllowed(deferrable, deferrableTime.meanMs());
      if (next != null) {
        deferrableCreditMs = Math.max(0, deferrableCreditMs - dueMs);
        return next;
      }
    }
    if (interactive.size() == 0) {
      return null;
    }
    if (deferrable.size() > 0) {
      deferrableCreditMs += settings.deferrableShare() * interactiveTime.meanMs();
    }
    return pollAllowed(interactive, interactiveTime.meanMs());
  }

  private Waiter pollAllowed(FairQueue queue, double costMs) {
    return queue.poll(costMs, localInUse >= localLimit ? self : null);
  }

  private boolean mayUse(RouterId router, RequestClass requestClass) {
    return open
        && freeSlots() > 0
        && !isLocalLimitReached(router)
        && (requestClass == RequestClass.INTERACTIVE
            || (interactive.size() == 0 && deferrableInUse < deferrableLimit()));
  }

  private boolean isLocalLimitReached(RouterId router) {
    return localInUse >= localLimit && router.equals(self);
  }

  /** One slot is kept for interactive work, if there are two. */
  private int deferrableLimit() {
    return Math.max(1, slots - 1);
  }

  private int freeSlots() {
    int reserved = 0;
    for (int i = 0; i < reserves.size(); i++) {
      reserved += reserves.get(i).count();
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
    long endsAtMs = deadlineMs + settings.closeGraceMs();
    use(router, incarnation, number, tenant, requestClass, endsAtMs);
    sink.granted(router, incarnation, number);
  }

  private void use(
      RouterId router,
      long incarnation,
      long number,
      TenantId tenant,
      RequestClass requestClass,
      long endsAtMs) {
    Permit permit = unused.isEmpty() ? new Permit() : unused.remove(unused.size() - 1);
    permit.router = router;
    permit.incarnation = incarnation;
    permit.number = number;
    permit.tenant = tenant;
    permit.requestClass = requestClass;
    permit.endsAtMs = endsAtMs;
    inUse.add(permit);
    localInUse += router.equals(self) ? 1 : 0;
    deferrableInUse += requestClass == RequestClass.DEFERRABLE ? 1 : 0;
  }

  private void free(Permit permit) {
    inUse.remove(permit);
    localInUse -= permit.router.equals(self) ? 1 : 0;
    deferrableInUse -= permit.requestClass == RequestClass.DEFERRABLE ? 1 : 0;
    unused.add(permit);
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
        queueOf(waiter.requestClass()).size() * timeOf(waiter.requestClass()).meanMs() / slots;
    refuse(waiter.router(), waiter.incarnation(), waiter.permit(), reason, Math.round(drainMs));
  }

  private void refuse(
      RouterId router, long incarnation, long number, RefusalReason reason, long drainMs) {
    long retryAfterMs = Math.max(SHORTEST_RETRY_AFTER_MS, drainMs);
    sink.refused(router, incarnation, number, reason, retryAfterMs);
  }

  private FairQueue queueOf(RequestClass requestClass) {
    return requestClass == RequestClass.INTERACTIVE ? interactive : deferrable;
  }

  private ServiceTime timeOf(RequestClass requestClass) {
    return requestClass == RequestClass.INTERACTIVE ? interactiveTime : deferrableTime;
  }

  private static boolean isOfEarlierRun(Waiter waiter, RouterId router, long current) {
    return waiter.router().equals(router) && waiter.incarnation() != current;
  }
}
