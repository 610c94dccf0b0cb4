package io.cuminvalve.core.admission;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.PermitGranted;
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
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests {@link AdmissionCoordinator} with scripted sequences of events. */
class AdmissionCoordinatorTest {

  private static final CellId CELL = new CellId("claims");
  private static final TargetId TARGET = new TargetId("t0");
  private static final TenantId TENANT = new TenantId("tenant");
  private static final Incarnation INCARNATION = new Incarnation(7);
  private static final List<RegisteredRouter> ROUTERS =
      Stream.of("r0", "r1", "r2").map(AdmissionCoordinatorTest::router).toList();
  private static final List<RouterId> GATE_ORDER = RendezvousHash.pick(TARGET.value(), ROUTERS, 3);
  private static final RouterId GATE = GATE_ORDER.get(0);
  private static final RouterId NEXT_GATE = GATE_ORDER.get(1);
  private static final TableVersion FIRST = new TableVersion(1, 1, 0);
  private static final TableVersion SECOND = new TableVersion(1, 2, 0);

  private final List<Long> granted = new ArrayList<>();
  private final Map<Long, RefusalReason> refused = new HashMap<>();
  private final List<PeerMessage> sent = new ArrayList<>();

  @Test
  void requestIsRefusedAfterGateTimeoutIfGateIsSilent() {
    AdmissionCoordinator coordinator = coordinator(NEXT_GATE, 1);
    coordinator.admit(1, TARGET, TENANT, RequestClass.INTERACTIVE, 10_000, 0);
    coordinator.tick(299);
    assertThat(refused).isEmpty();
    assertThat(sent(PermitRequest.class)).hasSize(2);
    coordinator.tick(300);
    assertThat(refused).containsExactly(1L, RefusalReason.GATE_UNAVAILABLE);
    assertThat(sent(PermitWithdrawn.class)).hasSize(1);
  }

  @Test
  void grantAfterWithdrawalIsReturned() {
    AdmissionCoordinator coordinator = coordinator(NEXT_GATE, 1);
    coordinator.admit(1, TARGET, TENANT, RequestClass.INTERACTIVE, 10_000, 0);
    coordinator.withdraw(1, TARGET, 10);
    coordinator.onMessage(new PermitGranted(CELL, FIRST, 1, TARGET, INCARNATION), GATE, 20);
    assertThat(granted).isEmpty();
    assertThat(sent(PermitReleased.class).get(0).use()).isEqualTo(SlotUse.UNUSED);
  }

  @Test
  void grantForOtherIncarnationOrFromOtherGateIsRejected() {
    AdmissionCoordinator coordinator = coordinator(NEXT_GATE, 1);
    coordinator.admit(1, TARGET, TENANT, RequestClass.INTERACTIVE, 10_000, 0);
    coordinator.onMessage(new PermitGranted(CELL, FIRST, 1, TARGET, new Incarnation(6)), GATE, 20);
    coordinator.onMessage(
        new PermitGranted(CELL, FIRST, 1, TARGET, INCARNATION), GATE_ORDER.get(2), 20);
    assertThat(granted).isEmpty();
    coordinator.onMessage(new PermitGranted(CELL, FIRST, 1, TARGET, INCARNATION), GATE, 20);
    assertThat(granted).containsExactly(1L);
  }

  @Test
  void newGateCountsReportedPermitsAndReservesForLostGate() {
    AdmissionCoordinator coordinator = coordinator(NEXT_GATE, 4);
    List<RegisteredRouter> left = without(GATE);
    coordinator.onTable(SECOND, left, 100);
    for (long permit = 1; permit <= 4; permit++) {
      coordinator.admit(permit, TARGET, TENANT, RequestClass.INTERACTIVE, 10_000, 100);
    }
    assertThat(granted).isEmpty();
    PermitInUse held = new PermitInUse(9, TARGET, 300);
    RouterId other = GATE_ORDER.get(2);
    coordinator.onMessage(
        new PermitReport(CELL, other, INCARNATION, SECOND, false, List.of(held)), other, 110);
    assertThat(granted).isEmpty();
    coordinator.tick(110 + 300 + 500);
    assertThat(granted).containsExactly(1L);
    coordinator.tick(100 + 1_000 + 2_000);
    assertThat(granted).containsExactly(1L, 2L, 3L);
  }

  @Test
  void newGateReservesNothingForRouterThatClosedItsPermits() {
    AdmissionCoordinator coordinator = coordinator(NEXT_GATE, 4);
    coordinator.onMessage(new PermitsClosed(CELL, GATE, INCARNATION), GATE, 50);
    coordinator.onTable(SECOND, without(GATE), 100);
    RouterId other = GATE_ORDER.get(2);
    coordinator.onMessage(
        new PermitReport(CELL, other, INCARNATION, SECOND, false, List.of()), other, 110);
    for (long permit = 1; permit <= 3; permit++) {
      coordinator.admit(permit, TARGET, TENANT, RequestClass.INTERACTIVE, 10_000, 120);
    }
    assertThat(granted).containsExactly(1L, 2L, 3L);
  }

  @Test
  void permitReportIsDeferredUntilTableOfGateIsInstalled() {
    AdmissionCoordinator coordinator = coordinator(GATE_ORDER.get(2), 4);
    PermitReportRequest request = new PermitReportRequest(CELL, NEXT_GATE, INCARNATION, SECOND);
    coordinator.onMessage(request, NEXT_GATE, 10);
    assertThat(sent(PermitReport.class)).isEmpty();
    coordinator.onTable(SECOND, without(GATE), 20);
    assertThat(sent(PermitReport.class)).hasSize(1);
  }

  @Test
  void restartedGateReservesSlotsForItsPreviousIncarnation() {
    AdmissionCoordinator coordinator = coordinator(GATE, 4);
    for (RouterId other : GATE_ORDER.subList(1, 3)) {
      coordinator.onMessage(
          new PermitReport(CELL, other, INCARNATION, FIRST, true, List.of()), other, 10);
    }
    for (long permit = 1; permit <= 3; permit++) {
      coordinator.admit(permit, TARGET, TENANT, RequestClass.INTERACTIVE, 10_000, 20);
    }
    assertThat(granted).containsExactly(1L);
  }

  @Test
  void closedCoordinatorRefusesRequestsAndAnnouncesCloseWhenIdle() {
    AdmissionCoordinator coordinator = coordinator(GATE, 4);
    coordinator.tick(300);
    coordinator.admit(1, TARGET, TENANT, RequestClass.INTERACTIVE, 10_000, 300);
    coordinator.close();
    coordinator.admit(2, TARGET, TENANT, RequestClass.INTERACTIVE, 10_000, 310);
    assertThat(refused).containsExactly(2L, RefusalReason.ROUTER_STOPPING);
    assertThat(sent(PermitsClosed.class)).isEmpty();
    coordinator.release(1, TARGET, SlotUse.ANSWERED, 10, 320);
    assertThat(sent(PermitsClosed.class)).hasSize(2);
  }

  @Test
  void connectionSharesStayWithinLimit() {
    for (int routers = 1; routers <= 20; routers++) {
      assertThat(ConnectionShare.of(40, routers) * routers).isAtMost(40);
      assertThat(ConnectionShare.of(40, routers)).isAtLeast(1);
    }
  }

  private AdmissionCoordinator coordinator(RouterId self, int slots) {
    AdmissionCoordinator coordinator =
        new AdmissionCoordinator(
            CELL, self, INCARNATION, AdmissionSettings.DEFAULT, new RecordingSink());
    ServiceId service = new ServiceId("claims");
    DataCentreId dataCentre = new DataCentreId("dc");
    Instance instance = new Instance(TARGET, service, dataCentre, "127.0.0.1:2", slots, 40);
    coordinator.onTargets(List.of(instance), 0);
    coordinator.onTable(FIRST, ROUTERS, 0);
    return coordinator;
  }

  private <M extends PeerMessage> List<M> sent(Class<M> type) {
    return sent.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private static List<RegisteredRouter> without(RouterId removed) {
    return ROUTERS.stream().filter(router -> !router.id().equals(removed)).toList();
  }

  private static RegisteredRouter router(String name) {
    return new RegisteredRouter(new RouterId(name), new DataCentreId("dc"), "127.0.0.1:1", true);
  }

  /** Records decisions and messages. */
  private final class RecordingSink implements AdmissionSink {

    @Override
    public void granted(long permit) {
      granted.add(permit);
    }

    @Override
    public void refused(long permit, RefusalReason reason, long retryAfterMs) {
      refused.put(permit, reason);
    }

    @Override
    public void send(RouterId to, PeerMessage message) {
      sent.add(message);
    }
  }
}
