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
 * The admission of one router for one cell: asks the gate of each target for slots, and is the gate
 * of the targets that the registered routers give it.
 *
 * <p>The gate of a target is the first choice of {@link RendezvousHash} among the registered
 * routers, so that every router finds it without asking. When it changes, the new gate grants
 * nothing before each registered router that answers has told its permits; slots are kept for a
 * while for those that do not answer.
 *
 * <p>Not thread-safe: the caller serialises all calls of one desk.
 *
 * @since 0.1
 */
public final class AdmissionCoordinator {

  private final CellId cell;
  private final RouterId self;
  private final Incarnation incarnation;
  private final AdmissionSettings settings;
  private final AdmissionSink sink;
  private final Map<TargetId, TargetAdmission> desks = new HashMap<>();
  private final PermitRecovery learning = new PermitRecovery();
  private final RouterIncarnations runs;
  private final Map<RouterId, PermitReportRequest> reportsDue = new HashMap<>();
  private TableVersion version = TableVersion.NONE;
  private List<RegisteredRouter> routers = List.of();
  private boolean closing;
  private boolean closedSaid;

  /**
   * Creates the desk of a router that has no table yet.
   *
   * @param cell the cell; not null
   * @param self the router; not null
   * @param incarnation its current run; not null
   * @param settings limits and times; not null
   * @param sink receives the effects; not null
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
    this.runs = new RouterIncarnations(settings.lostPermitMs());
  }

  /**
   * Takes the targets of the cell.
   *
   * @param instances the instances of the cell's service; not null
   * @param nowMs the current time in milliseconds
   */
  public void onTargets(List<Instance> instances, long nowMs) {
    for (Instance instance : instances) {
      TargetAdmission desk = desks.get(instance.id());
      if (desk == null) {
        desk = new TargetAdmission(this, instance.id(), instance.slots());
        desks.put(instance.id(), desk);
        desk.setGate(gateOf(instance.id()), nowMs);
      } else {
        desk.resize(instance.slots(), nowMs);
      }
    }
    startLearning(routers, nowMs);
  }

  /**
   * Takes a table version.
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
      desks.values().forEach(desk -> desk.setGate(gateOf(desk.target()), nowMs));
      startLearning(earlier, nowMs);
    }
    List<PermitReportRequest> due = new ArrayList<>(reportsDue.values());
    reportsDue.clear();
    due.forEach(request -> onReportRequest(request, nowMs));
  }

  /**
   * Asks for a slot; the sink gets the answer, at once or later.
   *
   * @param permit a number that this run of the router never used before
   * @param target the target; not null
   * @param tenant on whose behalf; not null
   * @param requestClass how urgent; not null
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
    TargetAdmission desk = desks.get(target);
    if (closing || desk == null) {
      RefusalReason reason =
          closing ? RefusalReason.ROUTER_STOPPING : RefusalReason.SHARD_UNAVAILABLE;
      sink.refused(permit, reason, settings.gateTimeoutMs());
      return;
    }
    desk.admit(permit, tenant, requestClass, deadlineMs, nowMs);
  }

  /**
   * Returns a slot: nothing of its request is in flight.
   *
   * @param permit the number of the permit
   * @param target the target; not null
   * @param use how it was used; not null
   * @param serviceMs milliseconds from the first byte to the end
   * @param nowMs the current time in milliseconds
   */
  public void release(long permit, TargetId target, SlotUse use, long serviceMs, long nowMs) {
    TargetAdmission desk = desks.get(target);
    if (desk != null) {
      desk.release(permit, use, serviceMs, nowMs);
    }
    sayClosed();
  }

  /**
   * Waits for a slot no more. A grant that comes nevertheless is returned by the desk.
   *
   * @param permit the number of the permit
   * @param target the target; not null
   * @param nowMs the current time in milliseconds
   */
  public void withdraw(long permit, TargetId target, long nowMs) {
    TargetAdmission desk = desks.get(target);
    if (desk != null) {
      desk.withdraw(permit, nowMs);
    }
    sayClosed();
  }

  /**
   * Takes a message of another router. Messages that are not about permits are ignored.
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
      withDesk(queued.target(), queued.receiver(), d -> d.onQueued(queued.permit(), from, nowMs));
    } else if (message instanceof PermitRefused refused) {
      withDesk(refused.target(), refused.receiver(), d -> d.onRefused(refused, from, nowMs));
    } else if (message instanceof PermitReleased released) {
      onReleased(released, nowMs);
    } else if (message instanceof PermitWithdrawn withdrawn) {
      onWithdrawn(withdrawn, nowMs);
    } else if (message instanceof PermitReportRequest request) {
      onReportRequest(request, nowMs);
    } else if (message instanceof PermitReport report) {
      onReport(report, nowMs);
    } else if (message instanceof PermitsClosed closed) {
      runs.onCleanEnd(closed.router(), closed.incarnation());
    }
  }

  /**
   * Lets time pass; to be called at least every 20 milliseconds.
   *
   * @param nowMs the current time in milliseconds
   */
  public void tick(long nowMs) {
    if (learning.isOver(nowMs)) {
      finishLearning(nowMs);
    }
    learning.routersToAskAgain(nowMs, settings.gateTimeoutMs()).forEach(this::askForReport);
    desks.values().forEach(desk -> desk.tick(nowMs));
  }

  /**
   * Gives this router no further slots. Once it holds none it tells the others, so that none is
   * kept for it when it leaves.
   */
  public void close() {
    closing = true;
    sayClosed();
  }

  /**
   * Counts the permits in use of this router's own gates.
   *
   * @param target the target; not null
   * @return 0 if this router is not the gate
   */
  public int inUseAtOwnGate(TargetId target) {
    TargetAdmission desk = desks.get(target);
    return desk == null ? 0 : desk.inUseAtOwnGate();
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

  /** Returns how many slots a gate may give to the router that runs it. */
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
        desks.values().forEach(desk -> desk.onRouterLost(router.id(), 0));
      }
    }
  }

  private boolean isRegistered(RouterId router) {
    return routers.stream().anyMatch(registered -> registered.id().equals(router));
  }

  private void startLearning(List<RegisteredRouter> earlier, long nowMs) {
    List<TargetAdmission> shut =
        desks.values().stream().filter(TargetAdmission::isLearning).toList();
    if (shut.isEmpty()) {
      return;
    }
    learning.start(nowMs + settings.gateTimeoutMs(), nowMs);
    for (RegisteredRouter router : routers) {
      if (!router.id().equals(self)) {
        learning.await(router.id());
        askForReport(router.id());
      }
    }
    for (RegisteredRouter router : earlier) {
      if (!isRegistered(router.id()) && !runs.endedCleanly(router.id())) {
        shut.forEach(desk -> reserve(desk, router.id(), nowMs));
      }
    }
    if (learning.isOver(nowMs)) {
      finishLearning(nowMs);
    }
  }

  private void askForReport(RouterId router) {
    sink.send(router, new PermitReportRequest(cell, self, incarnation, version));
  }

  private void finishLearning(long nowMs) {
    List<RouterId> silent = learning.finish();
    silent.removeIf(runs::endedCleanly);
    for (TargetAdmission desk : desks.values()) {
      if (desk.isLearning()) {
        silent.forEach(router -> reserve(desk, router, nowMs));
        desk.open(nowMs);
      }
    }
  }

  private void reserve(TargetAdmission desk, RouterId holder, long nowMs) {
    long endsAtMs = nowMs + settings.routeLeaseMs() + settings.lostPermitMs();
    desk.reserve(holder, Math.max(1, routers.size()), endsAtMs);
  }

  private void onRequest(PermitRequest request, long nowMs) {
    noteRun(request.router(), request.incarnation(), nowMs);
    TargetAdmission desk = desks.get(request.target());
    if (desk == null || !desk.isGate()) {
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
    desk.onRequest(request, nowMs);
  }

  private void onGranted(PermitGranted granted, RouterId from) {
    TargetAdmission desk = desks.get(granted.target());
    boolean wanted =
        desk != null
            && granted.receiver().equals(incarnation)
            && desk.onGranted(granted.permit(), from);
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
    TargetAdmission desk = desks.get(released.target());
    if (desk != null) {
      desk.onReleased(released, nowMs);
    }
  }

  private void onWithdrawn(PermitWithdrawn withdrawn, long nowMs) {
    TargetAdmission desk = desks.get(withdrawn.target());
    if (desk != null) {
      desk.onWithdrawn(withdrawn, nowMs);
    }
  }

  private void onReportRequest(PermitReportRequest request, long nowMs) {
    if (request.version().isNewerThan(version)) {
      reportsDue.put(request.gate(), request);
      return;
    }
    boolean sawEarlierRun = runs.sawEarlierRun(request.gate(), request.gateIncarnation(), nowMs);
    noteRun(request.gate(), request.gateIncarnation(), nowMs);
    List<PermitInUse> held = new ArrayList<>();
    desks.values().forEach(desk -> desk.listHeld(held, nowMs));
    sink.send(
        request.gate(), new PermitReport(cell, self, incarnation, version, sawEarlierRun, held));
  }

  private void onReport(PermitReport report, long nowMs) {
    noteRun(report.router(), report.incarnation(), nowMs);
    if (version.isNewerThan(report.version())) {
      return;
    }
    for (PermitInUse permit : report.permits()) {
      TargetAdmission desk = desks.get(permit.target());
      if (desk != null) {
        desk.adopt(report.router(), report.incarnation(), permit, nowMs);
      }
    }
    desks.values().forEach(desk -> desk.onReported(report.router(), nowMs));
    if (report.sawEarlierRun()) {
      desks.values().stream()
          .filter(TargetAdmission::isLearning)
          .forEach(desk -> desk.reserveForEarlierRun(nowMs + settings.lostPermitMs()));
    }
    learning.onReport(report.router());
    if (learning.isOver(nowMs)) {
      finishLearning(nowMs);
    }
  }

  private void noteRun(RouterId router, Incarnation run, long nowMs) {
    if (runs.isNewRun(router, run, nowMs)) {
      desks.values().forEach(desk -> desk.onRouterLost(router, run.value()));
    }
  }

  private void withDesk(TargetId target, Incarnation receiver, Consumer<TargetAdmission> action) {
    TargetAdmission desk = desks.get(target);
    if (desk != null && receiver.equals(incarnation)) {
      action.accept(desk);
    }
  }

  private void sayClosed() {
    if (!closing || closedSaid || desks.values().stream().anyMatch(TargetAdmission::holdsAny)) {
      return;
    }
    closedSaid = true;
    for (RegisteredRouter router : routers) {
      if (!router.id().equals(self)) {
        sink.send(router.id(), new PermitsClosed(cell, self, incarnation));
      }
    }
  }
}
