package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.PermitGranted;
import io.cuminvalve.core.protocol.PermitQueued;
import io.cuminvalve.core.protocol.PermitRefused;
import io.cuminvalve.core.protocol.PermitReleased;
import io.cuminvalve.core.protocol.PermitReport;
import io.cuminvalve.core.protocol.PermitReportRequest;
import io.cuminvalve.core.protocol.PermitRequest;
import io.cuminvalve.core.protocol.PermitWithdrawn;
import io.cuminvalve.core.protocol.PermitsClosed;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.core.rule.RequestClass;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.core.verdict.RefusalReason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Admission control of one router for one cell: requests slots from the gate of each target, and is
 * itself the gate of the targets that rendezvous hashing assigns to it.
 *
 * <p>The gate of a target is the first choice of {@link RendezvousHash} among the registered
 * routers, so every router can compute it locally. After a change, the new gate grants nothing
 * until all registered routers have reported their permits or the gate timeout has passed. For
 * routers that did not report, it reserves slots until their permits must have expired.
 *
 * <p>Not thread-safe: the caller serialises all calls to one instance.
 *
 * @since 0.1
 */
public final class AdmissionCoordinator {

  private final CellId cell;
  private final RouterId self;
  private final Incarnation incarnation;
  private final AdmissionSettings settings;
  private final AdmissionSink sink;
  private final Map<TargetId, TargetAdmission> admissions = new HashMap<>();
  private final PermitRecovery recovery = new PermitRecovery();
  private final RouterIncarnations incarnations;
  private final Map<RouterId, PermitReportRequest> deferredReports = new HashMap<>();
  private TableVersion version = TableVersion.NONE;
  private List<RegisteredRouter> routers = List.of();
  private boolean closing;
  private boolean closeAnnounced;

  /**
   * Creates the admission control of a router that has no table yet.
   *
   * @param cell the cell; not null
   * @param self the router; not null
   * @param incarnation the current incarnation of this router; not null
   * @param settings limits and timeouts; not null
   * @param sink receives decisions and outgoing messages; not null
   */
  public AdmissionCoordinator(
      CellId cell,
      RouterId self,
      Incarnation incarnation,
      AdmissionSettings settings,
      AdmissionSink sink) {
    this.cell = cell;
    this.self = self;
    this.incarnation = incarnation;
    this.settings = settings;
    this.sink = sink;
    this.incarnations = new RouterIncarnations(settings.lostPermitMs());
  }

  /**
   * Adds new targets of the cell and updates the number of slots of known ones.
   *
   * @param instances the instances of the cell's service; not null
   * @param nowMs the current time in milliseconds
   */
  public void onTargets(List<Instance> instances, long nowMs) {
    for (Instance instance : instances) {
      TargetAdmission admission = admissions.get(instance.id());
      if (admission == null) {
        admission = new TargetAdmission(this, instance.id(), instance.slots());
        admissions.put(instance.id(), admission);
        admission.setGate(gateOf(instance.id()), nowMs);
      } else {
        admission.resize(instance.slots(), nowMs);
      }
    }
    startRecovery(routers, nowMs);
  }

  /**
   * Installs a table version.
   *
   * @param newVersion the version; older ones are ignored; not null
   * @param newRouters its registered routers; not null
   * @param nowMs the current time in milliseconds
   */
  public void onTable(TableVersion newVersion, List<RegisteredRouter> newRouters, long nowMs) {
    if (!newVersion.isNewerThan(version)) {
      return;
    }
    version = newVersion;
    if (!newRouters.equals(routers)) {
      List<RegisteredRouter> earlier = routers;
      routers = List.copyOf(newRouters);
      dropRemovedRouters(earlier);
      admissions
          .values()
          .forEach(admission -> admission.setGate(gateOf(admission.target()), nowMs));
      startRecovery(earlier, nowMs);
    }
    List<PermitReportRequest> ready = new ArrayList<>(deferredReports.values());
    deferredReports.clear();
    ready.forEach(request -> onReportRequest(request, nowMs));
  }

  /**
   * Requests a slot. The sink receives the decision, possibly before this method returns.
   *
   * @param permit a number that this incarnation of the router has not used before
   * @param target the target; not null
   * @param tenant the tenant of the request; not null
   * @param requestClass the class of the request; not null
   * @param deadlineMs the deadline on the router's clock
   * @param nowMs the current time in milliseconds
   */
  public void admit(
      long permit,
      TargetId target,
      TenantId tenant,
      RequestClass requestClass,
      long deadlineMs,
      long nowMs) {
    TargetAdmission admission = admissions.get(target);
    if (closing || admission == null) {
      RefusalReason reason =
          closing ? RefusalReason.ROUTER_STOPPING : RefusalReason.SHARD_UNAVAILABLE;
      sink.refused(permit, reason, settings.gateTimeoutMs());
      return;
    }
    admission.admit(permit, tenant, requestClass, deadlineMs, nowMs);
  }

  /**
   * Returns a slot. No part of its request may still be in flight.
   *
   * @param permit the number of the permit
   * @param target the target; not null
   * @param use how the slot was used; not null
   * @param serviceMs the service time in milliseconds, from the first byte to the end
   * @param nowMs the current time in milliseconds
   */
  public void release(long permit, TargetId target, SlotUse use, long serviceMs, long nowMs) {
    TargetAdmission admission = admissions.get(target);
    if (admission != null) {
      admission.release(permit, use, serviceMs, nowMs);
    }
    announceClosed();
  }

  /**
   * Withdraws a request for a slot. A grant that arrives afterwards is returned to the gate.
   *
   * @param permit the number of the permit
   * @param target the target; not null
   * @param nowMs the current time in milliseconds
   */
  public void withdraw(long permit, TargetId target, long nowMs) {
    TargetAdmission admission = admissions.get(target);
    if (admission != null) {
      admission.withdraw(permit, nowMs);
    }
    announceClosed();
  }

  /**
   * Handles a message of another router. Messages that are not about permits are ignored.
   *
   * @param message the message; not null
   * @param from the sender; not null
   * @param nowMs the current time in milliseconds
   */
  public void onMessage(PeerMessage message, RouterId from, long nowMs) {
    if (message instanceof PermitRequest request) {
      onRequest(request, nowMs);
    } else if (message instanceof PermitGranted granted) {
      onGranted(granted, from);
    } else if (message instanceof PermitQueued queued) {
      withTarget(queued.target(), queued.receiver(), t -> t.onQueued(queued.permit(), from, nowMs));
    } else if (message instanceof PermitRefused refused) {
      withTarget(refused.target(), refused.receiver(), t -> t.onRefused(refused, from, nowMs));
    } else if (message instanceof PermitReleased released) {
      onReleased(released, nowMs);
    } else if (message instanceof PermitWithdrawn withdrawn) {
      onWithdrawn(withdrawn, nowMs);
    } else if (message instanceof PermitReportRequest request) {
      onReportRequest(request, nowMs);
    } else if (message instanceof PermitReport report) {
      onReport(report, nowMs);
    } else if (message instanceof PermitsClosed closed) {
      incarnations.onCleanEnd(closed.router(), closed.incarnation());
    }
  }

  /**
   * Handles timeouts; call it at least every 20 milliseconds.
   *
   * @param nowMs the current time in milliseconds
   */
  public void tick(long nowMs) {
    if (recovery.isOver(nowMs)) {
      finishRecovery(nowMs);
    }
    recovery.routersToRetry(nowMs, settings.gateTimeoutMs()).forEach(this::requestReport);
    admissions.values().forEach(admission -> admission.tick(nowMs));
  }

  /**
   * Stops admitting requests of this router. Once it holds no permits, it notifies the other
   * routers, so that they reserve no slots for it after it has left.
   */
  public void close() {
    closing = true;
    announceClosed();
  }

  /**
   * Returns the number of permits in use of a target whose gate is this router.
   *
   * @param target the target; not null
   * @return the number; 0 if this router is not the gate
   */
  public int inUseAtOwnGate(TargetId target) {
    TargetAdmission admission = admissions.get(target);
    return admission == null ? 0 : admission.inUseAtOwnGate();
  }

  RouterId self() {
    return self;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  CellId cell() {
    return cell;
  }

  TableVersion version() {
    return version;
  }

  AdmissionSettings settings() {
    return settings;
  }

  AdmissionSink sink() {
    return sink;
  }

  /** Returns how many slots a gate may grant to its own router. */
  int localLimit(int slots) {
    return routers.size() <= 1 ? slots : Math.max(1, slots - 1);
  }

  private RouterId gateOf(TargetId target) {
    List<RouterId> first = RendezvousHash.pick(target.value(), routers, 1);
    return first.isEmpty() ? null : first.get(0);
  }

  private void dropRemovedRouters(List<RegisteredRouter> earlier) {
    for (RegisteredRouter router : earlier) {
      if (!isRegistered(router.id())) {
        admissions.values().forEach(admission -> admission.onRouterLost(router.id(), 0));
      }
    }
  }

  private boolean isRegistered(RouterId router) {
    return routers.stream().anyMatch(registered -> registered.id().equals(router));
  }

  private void startRecovery(List<RegisteredRouter> earlier, long nowMs) {
    List<TargetAdmission> recovering =
        admissions.values().stream().filter(TargetAdmission::isRecovering).toList();
    if (recovering.isEmpty()) {
      return;
    }
    recovery.start(nowMs + settings.gateTimeoutMs(), nowMs);
    for (RegisteredRouter router : routers) {
      if (!router.id().equals(self)) {
        recovery.await(router.id());
        requestReport(router.id());
      }
    }
    for (RegisteredRouter router : earlier) {
      if (!isRegistered(router.id()) && !incarnations.endedCleanly(router.id())) {
        recovering.forEach(admission -> reserve(admission, router.id(), nowMs));
      }
    }
    if (recovery.isOver(nowMs)) {
      finishRecovery(nowMs);
    }
  }

  private void requestReport(RouterId router) {
    sink.send(router, new PermitReportRequest(cell, self, incarnation, version));
  }

  private void finishRecovery(long nowMs) {
    List<RouterId> silent = recovery.finish();
    silent.removeIf(incarnations::endedCleanly);
    for (TargetAdmission admission : admissions.values()) {
      if (admission.isRecovering()) {
        silent.forEach(router -> reserve(admission, router, nowMs));
        admission.open(nowMs);
      }
    }
  }

  private void reserve(TargetAdmission admission, RouterId holder, long nowMs) {
    long endsAtMs = nowMs + settings.routeLeaseMs() + settings.lostPermitMs();
    admission.reserve(holder, Math.max(1, routers.size()), endsAtMs);
  }

  private void onRequest(PermitRequest request, long nowMs) {
    recordIncarnation(request.router(), request.incarnation(), nowMs);
    TargetAdmission admission = admissions.get(request.target());
    if (admission == null || !admission.isGate()) {
      sink.send(
          request.router(),
          new PermitRefused(
              cell,
              version,
              request.permit(),
              request.target(),
              RefusalReason.GATE_UNAVAILABLE,
              settings.gateTimeoutMs(),
              request.incarnation()));
      return;
    }
    admission.onRequest(request, nowMs);
  }

  private void onGranted(PermitGranted granted, RouterId from) {
    TargetAdmission admission = admissions.get(granted.target());
    boolean wanted =
        admission != null
            && granted.receiver().equals(incarnation)
            && admission.onGranted(granted.permit(), from);
    if (!wanted) {
      sink.send(
          from,
          new PermitReleased(
              cell,
              self,
              granted.receiver(),
              granted.permit(),
              granted.target(),
              SlotUse.UNUSED,
              0));
    }
  }

  private void onReleased(PermitReleased released, long nowMs) {
    TargetAdmission admission = admissions.get(released.target());
    if (admission != null) {
      admission.onReleased(released, nowMs);
    }
  }

  private void onWithdrawn(PermitWithdrawn withdrawn, long nowMs) {
    TargetAdmission admission = admissions.get(withdrawn.target());
    if (admission != null) {
      admission.onWithdrawn(withdrawn, nowMs);
    }
  }

  private void onReportRequest(PermitReportRequest request, long nowMs) {
    if (request.version().isNewerThan(version)) {
      deferredReports.put(request.gate(), request);
      return;
    }
    boolean sawEarlierRun =
        incarnations.sawEarlierRun(request.gate(), request.gateIncarnation(), nowMs);
    recordIncarnation(request.gate(), request.gateIncarnation(), nowMs);
    List<PermitInUse> held = new ArrayList<>();
    admissions.values().forEach(admission -> admission.addHeldPermits(held, nowMs));
    sink.send(
        request.gate(), new PermitReport(cell, self, incarnation, version, sawEarlierRun, held));
  }

  private void onReport(PermitReport report, long nowMs) {
    recordIncarnation(report.router(), report.incarnation(), nowMs);
    if (version.isNewerThan(report.version())) {
      return;
    }
    for (PermitInUse permit : report.permits()) {
      TargetAdmission admission = admissions.get(permit.target());
      if (admission != null) {
        admission.adopt(report.router(), report.incarnation(), permit, nowMs);
      }
    }
    admissions.values().forEach(admission -> admission.onReported(report.router(), nowMs));
    if (report.sawEarlierRun()) {
      admissions.values().stream()
          .filter(TargetAdmission::isRecovering)
          .forEach(
              admission ->
                  admission.reserveForPreviousIncarnation(nowMs + settings.lostPermitMs()));
    }
    recovery.onReport(report.router());
    if (recovery.isOver(nowMs)) {
      finishRecovery(nowMs);
    }
  }

  private void recordIncarnation(RouterId router, Incarnation seen, long nowMs) {
    if (incarnations.recordSeen(router, seen, nowMs)) {
      admissions.values().forEach(admission -> admission.onRouterLost(router, seen.value()));
    }
  }

  private void withTarget(TargetId target, Incarnation receiver, Consumer<TargetAdmission> action) {
    TargetAdmission admission = admissions.get(target);
    if (admission != null && receiver.equals(incarnation)) {
      action.accept(admission);
    }
  }

  private void announceClosed() {
    if (!closing
        || closeAnnounced
        || admissions.values().stream().anyMatch(TargetAdmission::hasOutstandingPermits)) {
      return;
    }
    closeAnnounced = true;
    for (RegisteredRouter router : routers) {
      if (!router.id().equals(self)) {
        sink.send(router.id(), new PermitsClosed(cell, self, incarnation));
      }
    }
  }
}
