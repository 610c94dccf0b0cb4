package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.protocol.PermitGranted;
import io.cuminvalve.core.protocol.PermitQueued;
import io.cuminvalve.core.protocol.PermitRefused;
import io.cuminvalve.core.protocol.PermitReleased;
import io.cuminvalve.core.protocol.PermitRequest;
import io.cuminvalve.core.protocol.PermitWithdrawn;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.core.rule.RequestClass;
import io.cuminvalve.core.verdict.RefusalReason;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Admission to one target at one router: the gate of the target if this router is the gate, else
 * the requests of this router at the gate of another router.
 *
 * @since 0.1
 */
final class TargetAdmission implements GateSink {

  /** How often a permit is requested within the gate timeout. */
  private static final int REQUESTS_PER_TIMEOUT = 3;

  private final AdmissionCoordinator owner;
  private final TargetId target;
  private final Map<Long, RemotePermit> remote = new LinkedHashMap<>();
  private int slots;
  private RouterId gateRouter;
  private RouterId previousGate;
  private TargetGate gate;
  private boolean recovering;
  private boolean previousIncarnationReserved;

  /** A request of this router at the gate of another router. */
  private static final class RemotePermit {

    private final long number;
    private final TenantId tenant;
    private final RequestClass requestClass;
    private final long deadlineMs;
    private boolean held;
    private long repliedAtMs;
    private long requestedAtMs;

    RemotePermit(
        long number, TenantId tenant, RequestClass requestClass, long deadlineMs, long nowMs) {
      this.number = number;
      this.tenant = tenant;
      this.requestClass = requestClass;
      this.deadlineMs = deadlineMs;
      this.repliedAtMs = nowMs;
    }
  }

  TargetAdmission(AdmissionCoordinator owner, TargetId target, int slots) {
    this.owner = owner;
    this.target = target;
    this.slots = slots;
  }

  TargetId target() {
    return target;
  }

  boolean isGate() {
    return gate != null;
  }

  boolean isRecovering() {
    return gate != null && recovering;
  }

  int inUseAtOwnGate() {
    return gate == null ? 0 : gate.inUse();
  }

  boolean hasOutstandingPermits() {
    return gate != null ? gate.localInUse() > 0 : !remote.isEmpty();
  }

  void resize(int newSlots, long nowMs) {
    slots = newSlots;
    if (gate != null) {
      gate.resize(slots, owner.localLimit(slots), nowMs);
    }
  }

  /** Sets the router that is the gate from now on; null if there is none. */
  void setGate(RouterId newGate, long nowMs) {
    boolean wasSelf = owner.self().equals(gateRouter);
    boolean isSelf = owner.self().equals(newGate);
    boolean changed = newGate != null && !newGate.equals(gateRouter);
    previousGate = changed ? gateRouter : previousGate;
    gateRouter = newGate;
    if (isSelf && !wasSelf) {
      becomeGate(nowMs);
    } else if (!isSelf && wasSelf) {
      resignGate(nowMs);
    } else if (changed) {
      remote.values().stream().filter(p -> !p.held).forEach(p -> sendRequest(p, nowMs));
    } else if (isSelf) {
      gate.resize(slots, owner.localLimit(slots), nowMs);
    }
  }

  void open(long nowMs) {
    recovering = false;
    gate.open(nowMs);
  }

  void reserve(RouterId holder, int routers, long expiresAtMs) {
    int count =
        holder.equals(previousGate) ? owner.localLimit(slots) : Math.max(1, slots / routers);
    gate.reserve(holder, count, expiresAtMs);
  }

  /** Reserves the slots that an earlier incarnation of this router may have granted to itself. */
  void reserveForPreviousIncarnation(long expiresAtMs) {
    if (!previousIncarnationReserved) {
      previousIncarnationReserved = true;
      gate.reserve(owner.self(), owner.localLimit(slots), expiresAtMs);
    }
  }

  void onReported(RouterId router, long nowMs) {
    if (gate != null) {
      gate.clearReservations(router);
      gate.tick(nowMs);
    }
  }

  void adopt(RouterId router, Incarnation incarnation, PermitInUse permit, long nowMs) {
    if (gate != null) {
      gate.adopt(router, incarnation.value(), permit.permit(), expiryOf(permit, nowMs));
    }
  }

  void onRouterLost(RouterId router, long currentIncarnation) {
    if (gate != null) {
      gate.onRouterLost(router, currentIncarnation);
    }
  }

  void admit(long permit, TenantId tenant, RequestClass requestClass, long deadlineMs, long nowMs) {
    if (gate != null) {
      long incarnation = owner.incarnation().value();
      gate.request(owner.self(), incarnation, permit, tenant, requestClass, deadlineMs, nowMs);
      return;
    }
    if (gateRouter == null) {
      owner.sink().refused(permit, RefusalReason.NOT_READY, owner.settings().gateTimeoutMs());
      return;
    }
    RemotePermit remotePermit = new RemotePermit(permit, tenant, requestClass, deadlineMs, nowMs);
    remote.put(permit, remotePermit);
    sendRequest(remotePermit, nowMs);
  }

  void release(long permit, SlotUse use, long serviceMs, long nowMs) {
    if (gate != null) {
      long incarnation = owner.incarnation().value();
      gate.release(owner.self(), incarnation, permit, use, serviceMs, nowMs);
    } else if (remote.remove(permit) != null) {
      owner
          .sink()
          .send(
              gateRouter,
              new PermitReleased(
                  owner.cell(), owner.self(), owner.incarnation(), permit, target, use, serviceMs));
    }
  }

  void withdraw(long permit, long nowMs) {
    if (gate != null) {
      gate.withdraw(owner.self(), owner.incarnation().value(), permit, nowMs);
    } else if (remote.remove(permit) != null) {
      sendWithdrawn(permit);
    }
  }

  void onRequest(PermitRequest request, long nowMs) {
    gate.request(
        request.router(),
        request.incarnation().value(),
        request.permit(),
        request.tenant(),
        request.requestClass(),
        nowMs + request.remainingMs(),
        nowMs);
  }

  void onReleased(PermitReleased released, long nowMs) {
    if (gate != null) {
      gate.release(
          released.router(),
          released.incarnation().value(),
          released.permit(),
          released.use(),
          released.serviceMs(),
          nowMs);
    }
  }

  void onWithdrawn(PermitWithdrawn withdrawn, long nowMs) {
    if (gate != null) {
      gate.withdraw(withdrawn.router(), withdrawn.incarnation().value(), withdrawn.permit(), nowMs);
    }
  }

  /** Handles a grant. Returns false if the slot must be returned to the sender. */
  boolean onGranted(long permit, RouterId from) {
    RemotePermit remotePermit = from.equals(gateRouter) ? remote.get(permit) : null;
    if (remotePermit == null) {
      return false;
    }
    if (!remotePermit.held) {
      remotePermit.held = true;
      owner.sink().granted(permit);
    }
    return true;
  }

  void onQueued(long permit, RouterId from, long nowMs) {
    RemotePermit remotePermit = remote.get(permit);
    if (remotePermit != null && from.equals(gateRouter)) {
      remotePermit.repliedAtMs = nowMs;
    }
  }

  void onRefused(PermitRefused refused, RouterId from, long nowMs) {
    RemotePermit remotePermit = remote.get(refused.permit());
    if (remotePermit == null || remotePermit.held || !from.equals(gateRouter)) {
      return;
    }
    if (refused.reason() == RefusalReason.GATE_UNAVAILABLE) {
      return; // The sender has a different table: tick() repeats the request until the timeout.
    }
    remote.remove(refused.permit());
    owner.sink().refused(refused.permit(), refused.reason(), refused.retryAfterMs());
  }

  void tick(long nowMs) {
    if (gate != null) {
      gate.tick(nowMs);
      return;
    }
    long timeoutMs = owner.settings().gateTimeoutMs();
    for (RemotePermit permit : new ArrayList<>(remote.values())) {
      if (permit.held) {
        continue;
      }
      if (nowMs - permit.repliedAtMs >= timeoutMs) {
        remote.remove(permit.number);
        sendWithdrawn(permit.number);
        owner.sink().refused(permit.number, RefusalReason.GATE_UNAVAILABLE, timeoutMs);
      } else if (nowMs - permit.requestedAtMs >= timeoutMs / REQUESTS_PER_TIMEOUT) {
        sendRequest(permit, nowMs);
      }
    }
  }

  /** Adds the permits that this router holds to a list. */
  void addHeldPermits(List<PermitInUse> held, long nowMs) {
    if (gate != null) {
      gate.forEachPermitOf(
          owner.self(),
          (number, expiresAtMs) -> held.add(new PermitInUse(number, target, expiresAtMs - nowMs)));
    }
    for (RemotePermit permit : remote.values()) {
      if (permit.held) {
        held.add(new PermitInUse(permit.number, target, permit.deadlineMs - nowMs));
      }
    }
  }

  @Override
  public void granted(RouterId router, long incarnation, long permit) {
    if (router.equals(owner.self())) {
      owner.sink().granted(permit);
      return;
    }
    PermitGranted message =
        new PermitGranted(
            owner.cell(), owner.version(), permit, target, new Incarnation(incarnation));
    owner.sink().send(router, message);
  }

  @Override
  public void queued(RouterId router, long incarnation, long permit) {
    if (!router.equals(owner.self())) {
      PermitQueued message =
          new PermitQueued(
              owner.cell(), owner.version(), permit, target, new Incarnation(incarnation));
      owner.sink().send(router, message);
    }
  }

  @Override
  public void refused(
      RouterId router, long incarnation, long permit, RefusalReason reason, long retryAfterMs) {
    if (router.equals(owner.self())) {
      owner.sink().refused(permit, reason, retryAfterMs);
      return;
    }
    PermitRefused message =
        new PermitRefused(
            owner.cell(),
            owner.version(),
            permit,
            target,
            reason,
            retryAfterMs,
            new Incarnation(incarnation));
    owner.sink().send(router, message);
  }

  private void becomeGate(long nowMs) {
    gate = new TargetGate(owner.settings(), owner.self(), slots, owner.localLimit(slots), this);
    recovering = true;
    previousIncarnationReserved = false;
    List<RemotePermit> own = new ArrayList<>(remote.values());
    remote.clear();
    long incarnation = owner.incarnation().value();
    for (RemotePermit permit : own) {
      if (permit.held) {
        gate.adopt(owner.self(), incarnation, permit.number, expiryOf(permit.deadlineMs));
      } else {
        gate.request(
            owner.self(),
            incarnation,
            permit.number,
            permit.tenant,
            permit.requestClass,
            permit.deadlineMs,
            nowMs);
      }
    }
  }

  private void resignGate(long nowMs) {
    TargetGate previous = gate;
    gate = null;
    previous.forEachPermitOf(
        owner.self(),
        (number, expiresAtMs) -> {
          long deadlineMs = expiresAtMs - owner.settings().closeGraceMs();
          RemotePermit held =
              new RemotePermit(number, null, RequestClass.INTERACTIVE, deadlineMs, nowMs);
          held.held = true;
          remote.put(number, held);
        });
    for (Waiter waiter : previous.takeWaitersOf(owner.self())) {
      admit(waiter.permit(), waiter.tenant(), waiter.requestClass(), waiter.deadlineMs(), nowMs);
    }
  }

  private long expiryOf(PermitInUse permit, long nowMs) {
    return expiryOf(nowMs + permit.remainingMs());
  }

  private long expiryOf(long deadlineMs) {
    return deadlineMs + owner.settings().closeGraceMs();
  }

  private void sendRequest(RemotePermit permit, long nowMs) {
    permit.requestedAtMs = nowMs;
    owner
        .sink()
        .send(
            gateRouter,
            new PermitRequest(
                owner.cell(),
                owner.self(),
                owner.incarnation(),
                owner.version(),
                permit.number,
                target,
                permit.tenant,
                permit.requestClass,
                permit.deadlineMs - nowMs));
  }

  private void sendWithdrawn(long permit) {
    owner
        .sink()
        .send(
            gateRouter,
            new PermitWithdrawn(owner.cell(), owner.self(), owner.incarnation(), permit, target));
  }
}
