package io.cuminvalve.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.request.SlotUse;
import io.cuminvalve.core.rule.RequestClass;
import io.cuminvalve.core.verdict.RefusalReason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests {@link TargetGate}. */
class TargetGateTest {

  private static final RouterId SELF = new RouterId("r-self");
  private static final RouterId OTHER = new RouterId("r-other");
  private static final TenantId FLOOD = new TenantId("flood");
  private static final TenantId QUIET = new TenantId("quiet");
  private static final long FAR_DEADLINE_MS = 20_000;
  private static final AdmissionSettings SETTINGS =
      new AdmissionSettings(8, 0.2, 30_000, 2_000, 500, 300, 1_000);

  private final List<Long> granted = new ArrayList<>();
  private final Map<Long, RefusalReason> refused = new HashMap<>();
  private final Map<Long, Long> retryAfterMs = new HashMap<>();
  private final TargetGate gate = gate(2, 2);

  @Test
  void grantsAllSlotsThenQueuesInOrder() {
    request(1, QUIET, FAR_DEADLINE_MS, 0);
    request(2, QUIET, FAR_DEADLINE_MS, 0);
    request(3, QUIET, FAR_DEADLINE_MS, 0);
    request(4, QUIET, FAR_DEADLINE_MS, 0);
    assertThat(granted).containsExactly(1L, 2L).inOrder();
    release(2, 10, 10);
    assertThat(granted).containsExactly(1L, 2L, 3L).inOrder();
    gate.withdraw(OTHER, 1, 4, 10);
    release(1, 10, 10);
    release(3, 10, 10);
    assertThat(granted).containsExactly(1L, 2L, 3L).inOrder();
    assertThat(gate.inUse()).isEqualTo(0);
  }

  @Test
  void repeatedRequestRepeatsDecisionWithoutAnotherSlot() {
    request(1, QUIET, FAR_DEADLINE_MS, 0);
    request(1, QUIET, FAR_DEADLINE_MS, 1);
    assertThat(granted).containsExactly(1L, 1L);
    assertThat(gate.inUse()).isEqualTo(1);
    request(2, QUIET, FAR_DEADLINE_MS, 1);
    request(3, QUIET, FAR_DEADLINE_MS, 1);
    request(3, QUIET, FAR_DEADLINE_MS, 2);
    assertThat(gate.queued(RequestClass.INTERACTIVE)).isEqualTo(1);
  }

  @Test
  void grantsNothingBeforeOpen() {
    TargetGate closed = new TargetGate(SETTINGS, SELF, 2, 2, sink());
    closed.request(OTHER, 1, 1, QUIET, RequestClass.INTERACTIVE, FAR_DEADLINE_MS, 0);
    assertThat(granted).isEmpty();
    closed.open(5);
    assertThat(granted).containsExactly(1L);
  }

  @Test
  void keepsReservedSlotsFreeUntilExpiry() {
    gate.reserve(OTHER, 2, 100);
    request(1, QUIET, FAR_DEADLINE_MS, 0);
    request(2, QUIET, FAR_DEADLINE_MS, 0);
    assertThat(granted).containsExactly(1L);
    gate.tick(99);
    assertThat(granted).hasSize(1);
    gate.tick(100);
    assertThat(granted).hasSize(2);
  }

  @Test
  void keepsPermitsOfLostRouterUntilExpiryAndRemovesItsQueuedRequests() {
    request(1, QUIET, 1_000, 0);
    request(2, QUIET, 1_000, 0);
    request(3, QUIET, 3_000, 0);
    gate.onRouterLost(OTHER, 0);
    gate.request(SELF, 9, 4, QUIET, RequestClass.INTERACTIVE, FAR_DEADLINE_MS, 10);
    gate.tick(1_499);
    assertThat(granted).containsExactly(1L, 2L).inOrder();
    gate.tick(1_500);
    assertThat(granted).containsExactly(1L, 2L, 4L).inOrder();
  }

  @Test
  void limitsSlotsOfOwnRouter() {
    TargetGate limited = gate(3, 2);
    for (long permit = 1; permit <= 3; permit++) {
      limited.request(SELF, 9, permit, QUIET, RequestClass.INTERACTIVE, FAR_DEADLINE_MS, 0);
    }
    assertThat(granted).containsExactly(1L, 2L);
    limited.request(OTHER, 1, 7, QUIET, RequestClass.INTERACTIVE, FAR_DEADLINE_MS, 0);
    assertThat(granted).containsExactly(1L, 2L, 7L).inOrder();
    limited.release(SELF, 9, 1, SlotUse.ANSWERED, 5, 5);
    assertThat(granted).containsExactly(1L, 2L, 7L, 3L).inOrder();
  }

  @Test
  void floodOfOneTenantDoesNotDelayAnotherTenant() {
    request(1, FLOOD, FAR_DEADLINE_MS, 0);
    request(2, FLOOD, FAR_DEADLINE_MS, 0);
    for (long permit = 100; permit < 116; permit++) {
      request(permit, FLOOD, FAR_DEADLINE_MS, 0);
    }
    request(50, QUIET, FAR_DEADLINE_MS, 0);
    assertWithMessage("a full queue drops the newest of the flood")
        .that(refused.get(115L))
        .isEqualTo(RefusalReason.QUEUE_FULL);
    release(1, 10, 10);
    release(2, 10, 10);
    assertThat(granted).contains(50L);
  }

  @Test
  void tenantWithLongRequestsGetsFewerTurns() {
    TargetGate one = gate(1, 1);
    long nextPermit = 1;
    long nowMs = 0;
    long floodMs = 0;
    long quietMs = 0;
    for (int round = 0; round < 400; round++) {
      for (int i = 0; i < (round == 0 ? 3 : 1); i++) {
        one.request(
            OTHER, 1, nextPermit, FLOOD, RequestClass.INTERACTIVE, nowMs + FAR_DEADLINE_MS, nowMs);
        one.request(
            OTHER,
            1,
            nextPermit + 1,
            QUIET,
            RequestClass.INTERACTIVE,
            nowMs + FAR_DEADLINE_MS,
            nowMs);
        nextPermit += 2;
      }
      long running = granted.get(granted.size() - 1);
      boolean flood = running % 2 == 1;
      long serviceMs = flood ? 40 : 10;
      nowMs += serviceMs;
      floodMs += flood ? serviceMs : 0;
      quietMs += flood ? 0 : serviceMs;
      one.release(OTHER, 1, running, SlotUse.ANSWERED, serviceMs, nowMs);
    }
    assertThat((double) floodMs / quietMs).isLessThan(1.5);
  }

  @Test
  void deferrableRequestsKeepTheirShareBehindInteractiveOnes() {
    TargetGate one = gate(1, 1);
    one.request(OTHER, 1, 1, QUIET, RequestClass.INTERACTIVE, FAR_DEADLINE_MS, 0);
    for (long permit = 1_000; permit < 1_008; permit++) {
      one.request(OTHER, 1, permit, FLOOD, RequestClass.DEFERRABLE, FAR_DEADLINE_MS, 0);
    }
    long next = 2;
    long running = 1;
    int deferrableRuns = 0;
    for (long nowMs = 10; nowMs <= 400; nowMs += 10) {
      one.request(
          OTHER, 1, next++, QUIET, RequestClass.INTERACTIVE, nowMs + FAR_DEADLINE_MS, nowMs);
      one.release(OTHER, 1, running, SlotUse.ANSWERED, 10, nowMs);
      running = granted.get(granted.size() - 1);
      deferrableRuns += running >= 1_000 ? 1 : 0;
    }
    assertThat(deferrableRuns).isAtLeast(7);
    assertThat(granted.get(1)).isEqualTo(2L);
  }

  @Test
  void deferrableRequestsLeaveOneSlotForInteractiveOnes() {
    gate.request(OTHER, 1, 1, FLOOD, RequestClass.DEFERRABLE, FAR_DEADLINE_MS, 0);
    gate.request(OTHER, 1, 2, FLOOD, RequestClass.DEFERRABLE, FAR_DEADLINE_MS, 0);
    request(3, QUIET, FAR_DEADLINE_MS, 0);
    assertThat(granted).containsExactly(1L, 3L).inOrder();
  }

  @Test
  void refusesRequestThatCannotMeetItsDeadline() {
    recordServiceTime(100);
    request(11, QUIET, 10_000, 1_000);
    request(12, QUIET, 10_000, 1_000);
    request(13, QUIET, 10_000, 1_000);
    request(14, QUIET, 1_150, 1_000);
    assertThat(refused).containsEntry(14L, RefusalReason.DEADLINE_UNREACHABLE);
    assertThat(retryAfterMs.get(14L)).isAtLeast(20L);
    request(15, QUIET, 1_300, 1_000);
    assertThat(refused).doesNotContainKey(15L);
    gate.tick(1_250);
    assertThat(refused).containsEntry(15L, RefusalReason.DEADLINE_UNREACHABLE);
    assertThat(refused).doesNotContainKey(13L);
  }

  @Test
  void idleTargetGetsRequestDespiteSlowMeasurements() {
    recordServiceTime(5_000);
    request(11, QUIET, 1_100, 1_000);
    assertThat(granted).contains(11L);
  }

  @Test
  void slowRequestsDoNotCauseRefusalOfFastOnes() {
    recordServiceTime(10);
    recordServiceTime(2_000);
    request(11, QUIET, FAR_DEADLINE_MS, 1_000);
    request(12, QUIET, 1_200, 1_000);
    assertThat(granted).contains(12L);
  }

  @Test
  void requestAfterItsDeadlineIsRefused() {
    request(1, QUIET, 100, 100);
    assertThat(granted).isEmpty();
    assertThat(refused).containsEntry(1L, RefusalReason.DEADLINE_UNREACHABLE);
  }

  private void recordServiceTime(long serviceMs) {
    request(900, QUIET, FAR_DEADLINE_MS, 0);
    release(900, serviceMs, 0);
  }

  private void request(long permit, TenantId tenant, long deadlineMs, long nowMs) {
    gate.request(OTHER, 1, permit, tenant, RequestClass.INTERACTIVE, deadlineMs, nowMs);
  }

  private void release(long permit, long serviceMs, long nowMs) {
    gate.release(OTHER, 1, permit, SlotUse.ANSWERED, serviceMs, nowMs);
  }

  private TargetGate gate(int slots, int localLimit) {
    TargetGate created = new TargetGate(SETTINGS, SELF, slots, localLimit, sink());
    created.open(0);
    return created;
  }

  private GateSink sink() {
    return new GateSink() {
      @Override
      public void granted(RouterId router, long incarnation, long permit) {
        granted.add(permit);
      }

      @Override
      public void queued(RouterId router, long incarnation, long permit) {}

      @Override
      public void refused(
          RouterId router, long incarnation, long permit, RefusalReason reason, long afterMs) {
        refused.put(permit, reason);
        retryAfterMs.put(permit, afterMs);
      }
    };
  }
}
