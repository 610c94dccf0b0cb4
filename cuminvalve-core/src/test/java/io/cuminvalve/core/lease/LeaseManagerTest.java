package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeaseManagerTest {

  private static final ServiceId SERVICE = new ServiceId("core");
  private static final TargetId A = new TargetId("a");
  private static final TargetId B = new TargetId("b");
  private static final LeaseTimings TIMINGS =
      new LeaseTimings(4_000, 10_000, 1_000, 1_800, 5, 200, 0.02, 150, 9_500);
  private static final KeyRange FIRST_KEYS = new KeyRange(0, 99);

  private long tokens;
  private final LeaseManager manager = new LeaseManager(SERVICE, TIMINGS, () -> ++tokens);

  @BeforeEach
  void partition() {
    manager.partition(List.of(target(A), target(B)));
    manager.onWritten(manager.version());
    due(0).forEach(order -> grantEnds(order, OrderOutcome.DONE, 0));
  }

  @Test
  void nothingIsOrderedBeforeItIsDurable() {
    manager.move(FIRST_KEYS, B, 100);
    assertThat(due(100)).isEmpty();
    manager.onWritten(manager.version());
    assertThat(due(100)).hasSize(1);
  }

  /** Guards against grants to a run whose address the next term holder cannot know. */
  @Test
  void noLaterRunIsGrantedKeysBeforeTheRecordNamesIt() {
    TargetId laterRun = TargetId.ofRun("a", 1);
    manager.onRestarted(laterRun);
    assertThat(manager.needsWrite()).isTrue();
    assertThat(grantsTo(laterRun, due(100))).isEmpty();
    manager.onWritten(manager.version());
    assertThat(grantsTo(laterRun, due(100))).hasSize(1);
  }

  @Test
  void theLeaseThatEndsFirstIsRenewedFirst() {
    manager.due(1_000, A::equals).forEach(order -> grantEnds(order, OrderOutcome.DONE, 1_000));
    AtomicInteger places = new AtomicInteger(1);
    List<LeaseOrder> orders = manager.due(2_100, target -> places.getAndDecrement() > 0);
    assertThat(orders).hasSize(1);
    assertThat(orders.get(0).target()).isEqualTo(B);
  }

  @Test
  void manyLeasesAreRenewedLessOften() {
    for (int first = 0; first < 600; first += 2) {
      manager.move(new KeyRange(first, first), B, 100);
    }
    manager.onWritten(manager.version());
    for (int round = 0; round < 3; round++) {
      due(1_000).forEach(order -> answer(order, 1_000));
    }
    assertThat(manager.rangeCount()).isAtLeast(400);
    assertThat(due(1_000 + TIMINGS.maxRenewMs() - 1).isEmpty()).isTrue();
    assertThat(due(1_000 + TIMINGS.maxRenewMs()).isEmpty()).isFalse();
  }

  private void answer(LeaseOrder order, long nowMs) {
    if (order instanceof LeaseOrder.Release release) {
      manager.onReleaseEnded(release, OrderOutcome.DONE, Optional.empty(), nowMs);
    } else {
      grantEnds(order, OrderOutcome.DONE, nowMs);
    }
  }

  @Test
  void theNextOwnerIsGrantedAfterTheReleaseIsAnswered() {
    LeaseOrder.Release release = moveFirstKeysToB();
    assertThat(release.target()).isEqualTo(A);
    assertThat(manager.routes().get(0).open()).isFalse();
    manager.onReleaseEnded(release, OrderOutcome.DONE, Optional.of("handover"), 150);
    LeaseOrder.Grant grant = (LeaseOrder.Grant) due(150).get(0);
    assertThat(grant.target()).isEqualTo(B);
    assertThat(grant.token()).isEqualTo(release.token());
    assertThat(grant.handover()).hasValue("handover");
    grantEnds(grant, OrderOutcome.DONE, 150);
    assertThat(manager.routes().get(0).owner()).isEqualTo(B);
    assertThat(manager.routes().get(0).open()).isTrue();
  }

  /** The record that was read lacks later moves, so any target may hold any key. */
  @Test
  void whileOwnersAreUnknownNothingIsGrantedOrAsked() {
    LeaseManager next = new LeaseManager(SERVICE, TIMINGS, () -> ++tokens);
    next.takeOver(manager.table(0), 0, 10_000);
    next.assumeUnknownOwners(10_000);
    next.onWritten(next.version());
    assertThat(next.routes().stream().anyMatch(RangeRoute::open)).isFalse();
    assertThat(next.due(9_999, target -> true)).isEmpty();
    assertThat(next.due(10_000, target -> true)).hasSize(2);
    assertThat(next.routes().stream().allMatch(RangeRoute::open)).isTrue();
  }

  @Test
  void releaseThatWasNotSentWaitsForTheLeaseToExpire() {
    LeaseOrder.Release release = moveFirstKeysToB();
    manager.onReleaseEnded(release, OrderOutcome.NOT_SENT, Optional.empty(), 150);
    long endsMs = TIMINGS.boundMs(TIMINGS.leaseMs());
    assertThat(grantsTo(B, due(endsMs - 1))).isEmpty();
    assertThat(grantsTo(B, due(endsMs))).hasSize(1);
  }

  @Test
  void unansweredGrantDelaysTheNextOwner() {
    LeaseOrder.Grant renewal = (LeaseOrder.Grant) grantsTo(A, due(1_000)).get(0);
    manager.onGrantEnded(renewal, OrderOutcome.UNANSWERED, 1_000, 1_100);
    LeaseOrder.Release release = moveFirstKeysToB();
    manager.onReleaseEnded(release, OrderOutcome.DONE, Optional.empty(), 1_200);
    long endsMs = 1_000 + TIMINGS.boundMs(TIMINGS.leaseMs());
    assertThat(grantsTo(B, due(endsMs - 1))).isEmpty();
    assertThat(grantsTo(B, due(endsMs))).hasSize(1);
  }

  /** One answer applies to all ranges of the target, whatever the outcome of other releases. */
  @Test
  void answerOfAnotherTargetEndsEveryEarlierLease() {
    manager.move(FIRST_KEYS, B, 100);
    manager.move(KeyRange.ALL, B, 100);
    manager.onWritten(manager.version());
    List<LeaseOrder> releases = due(100);
    assertThat(releases).hasSize(2);
    manager.onReleaseEnded(
        (LeaseOrder.Release) releases.get(1), OrderOutcome.OTHER_TARGET, Optional.empty(), 101);
    assertThat(grantsTo(B, due(101))).hasSize(1);
  }

  /** The next run under the target's name may have accepted grants before the notice arrived. */
  @Test
  void terminationNoticeEndsNoLease() {
    LeaseOrder.Release release = moveFirstKeysToB();
    manager.onGone(A);
    manager.onReleaseEnded(release, OrderOutcome.NOT_SENT, Optional.empty(), 150);
    manager.onGone(A);
    long endsMs = TIMINGS.boundMs(TIMINGS.leaseMs());
    assertThat(grantsTo(B, due(endsMs - 1))).isEmpty();
    assertThat(grantsTo(B, due(endsMs))).hasSize(1);
  }

  /** The answer shows within milliseconds whether the target has terminated. */
  @Test
  void terminationNoticeMakesOrdersDueAtOnce() {
    LeaseOrder.Release release = moveFirstKeysToB();
    manager.onReleaseEnded(release, OrderOutcome.NOT_SENT, Optional.empty(), 150);
    assertThat(due(151)).isEmpty();
    manager.onGone(A);
    assertThat(due(151)).isNotEmpty();
  }

  /** An order proves nothing about a grant that ended after the order was sent. */
  @Test
  void answerOfAnotherTargetEndsNoLaterLease() {
    LeaseOrder.Release release = moveFirstKeysToB();
    LeaseOrder.Grant other =
        (LeaseOrder.Grant)
            due(1_000).stream().filter(order -> order.target().equals(A)).findFirst().orElseThrow();
    grantEnds(other, OrderOutcome.DONE, 1_010);
    manager.onReleaseEnded(release, OrderOutcome.OTHER_TARGET, Optional.empty(), 1_020);
    manager.move(other.range(), B, 1_030);
    manager.onWritten(manager.version());
    long endsMs = 1_000 + TIMINGS.boundMs(TIMINGS.leaseMs());
    assertThat(grantsOf(other.range(), due(endsMs - 1))).isEmpty();
    assertThat(grantsOf(other.range(), due(endsMs))).hasSize(1);
  }

  @Test
  void renewalAnsweredByAnotherRunProvesThatTheOwnerHasEnded() {
    LeaseOrder.Grant renewal = (LeaseOrder.Grant) grantsTo(A, due(1_000)).get(0);
    manager.onGrantEnded(renewal, OrderOutcome.OTHER_TARGET, 1_000, 1_010);
    assertThat(manager.routes().get(0).open()).isFalse();
    manager.move(renewal.range(), B, 1_010);
    manager.onWritten(manager.version());
    LeaseOrder.Grant next = (LeaseOrder.Grant) grantsTo(B, due(1_010)).get(0);
    assertThat(next.token()).isGreaterThan(renewal.token());
  }

  @Test
  void releaseAnsweredByAnotherRunFreesTheKeys() {
    LeaseOrder.Release release = moveFirstKeysToB();
    manager.onReleaseEnded(release, OrderOutcome.OTHER_TARGET, Optional.empty(), 150);
    assertThat(grantsTo(B, due(150))).hasSize(1);
  }

  @Test
  void onlyTheOpeningGrantReportsThatItOpenedKeys() {
    LeaseOrder.Release release = moveFirstKeysToB();
    manager.onReleaseEnded(release, OrderOutcome.DONE, Optional.empty(), 150);
    LeaseOrder.Grant grant = (LeaseOrder.Grant) grantsTo(B, due(150)).get(0);
    assertThat(manager.onGrantEnded(grant, OrderOutcome.DONE, 150, 160)).isTrue();
    LeaseOrder.Grant renewal = (LeaseOrder.Grant) grantsTo(B, due(1_200)).get(0);
    assertThat(manager.onGrantEnded(renewal, OrderOutcome.DONE, 1_200, 1_210)).isFalse();
  }

  @Test
  void theStaleTokenStopsRenewalsUntilTheTermIsConfirmed() {
    LeaseOrder.Grant renewal = (LeaseOrder.Grant) grantsTo(A, due(1_000)).get(0);
    manager.onGrantEnded(renewal, OrderOutcome.STALE, 1_000, 1_010);
    assertThat(manager.hasStaleTokens()).isTrue();
    assertThat(grantsTo(A, due(5_000))).isEmpty();
    manager.renewTokens();
    LeaseOrder.Grant next = (LeaseOrder.Grant) grantsTo(A, due(5_000)).get(0);
    assertThat(next.token()).isGreaterThan(renewal.token());
  }

  @Test
  void takingOverGrantsToTheSameOwnersUnderHigherTokens() {
    LeaseManager next = new LeaseManager(SERVICE, TIMINGS, () -> 1_000 + ++tokens);
    next.takeOver(manager.table(0), 0, 20_000);
    assertThat(next.due(0, target -> true)).isEmpty();
    next.onWritten(next.version());
    List<LeaseOrder> orders = next.due(0, target -> true);
    assertThat(orders).hasSize(2);
    assertThat(orders.get(0).target()).isEqualTo(A);
    assertThat(orders.get(0).token()).isGreaterThan(1_000);
  }

  @Test
  void inAnOutageLeasesAreRenewedAtOnceAndForLonger() {
    assertThat(due(500)).isEmpty();
    manager.setOutage(true);
    LeaseOrder.Grant grant = (LeaseOrder.Grant) grantsTo(A, due(500)).get(0);
    assertThat(grant.leaseMs()).isEqualTo(TIMINGS.outageLeaseMs());
    grantEnds(grant, OrderOutcome.DONE, 500);
    manager.setOutage(false);
    moveFirstKeysToB();
    long endsMs = 500 + TIMINGS.boundMs(TIMINGS.outageLeaseMs());
    assertThat(grantsTo(B, due(endsMs - 1))).isEmpty();
    assertThat(grantsTo(B, due(endsMs))).hasSize(1);
  }

  @Test
  void previousTermHolderMayLimitForeignLeases() {
    LeaseManager next = new LeaseManager(SERVICE, TIMINGS, () -> 1_000 + ++tokens);
    next.takeOver(manager.table(0), 0, 20_000);
    next.move(FIRST_KEYS, B, 1_000);
    next.onWritten(next.version());
    assertThat(grantsTo(B, next.due(1_000, target -> true))).isEmpty();
    next.limitForeignLeases(manager.remainingLeases(1_000), 1_000);
    long endsMs = TIMINGS.boundMs(TIMINGS.leaseMs());
    assertThat(grantsTo(B, next.due(endsMs - 1, target -> true))).isEmpty();
    assertThat(grantsTo(B, next.due(endsMs, target -> true))).hasSize(1);
  }

  @Test
  void busyTargetsGetTheirOrdersLater() {
    assertThat(manager.due(1_000, target -> target.equals(B))).hasSize(1);
    assertThat(grantsTo(A, due(1_000))).hasSize(1);
  }

  private LeaseOrder.Release moveFirstKeysToB() {
    manager.move(FIRST_KEYS, B, 100);
    manager.onWritten(manager.version());
    return (LeaseOrder.Release)
        due(100).stream().filter(LeaseOrder.Release.class::isInstance).findFirst().orElseThrow();
  }

  private List<LeaseOrder> due(long nowMs) {
    return manager.due(nowMs, target -> true);
  }

  private void grantEnds(LeaseOrder order, OrderOutcome outcome, long nowMs) {
    manager.onGrantEnded((LeaseOrder.Grant) order, outcome, nowMs, nowMs);
  }

  private static List<LeaseOrder> grantsTo(TargetId target, List<LeaseOrder> orders) {
    return orders.stream()
        .filter(order -> order instanceof LeaseOrder.Grant && order.target().equals(target))
        .filter(order -> order.range().first() == FIRST_KEYS.first())
        .toList();
  }

  private static List<LeaseOrder> grantsOf(KeyRange keys, List<LeaseOrder> orders) {
    return orders.stream()
        .filter(order -> order instanceof LeaseOrder.Grant && order.range().equals(keys))
        .toList();
  }

  private static FleetTarget target(TargetId id) {
    return new FleetTarget(
        id, SERVICE, id + ":1", new DataCentreId("zone"), 4, TargetPhase.READY, 0);
  }
}
