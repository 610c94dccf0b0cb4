package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.protocol.QuotaReply;
import io.cuminvalve.core.protocol.QuotaRequest;
import io.cuminvalve.core.quota.QuotaGrant;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.route.WeightedService;
import io.cuminvalve.core.waiting.RequestTimes;
import io.cuminvalve.gateway.observe.DecisionLog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DispatcherTest {

  private static final ServiceId SERVICE = new ServiceId("core");
  private static final DataCentreId LOCAL = new DataCentreId("here");
  private static final DataCentreId REMOTE = new DataCentreId("there");
  private static final TargetId NEAR = new TargetId("near");
  private static final TargetId FAR = new TargetId("far");

  private long ownersNumber;
  private long nowMs;
  private final RoutingState state = new RoutingState(10);
  private final List<Runnable> scheduled = new ArrayList<>();
  private final List<QuotaRequest> quotaRequests = new ArrayList<>();
  private final TargetQuotas quotas =
      new TargetQuotas(
          () -> nowMs,
          new DecisionLog(() -> nowMs, 1, line -> {}),
          (task, delayMs) -> {
            scheduled.add(task);
            return () -> scheduled.remove(task);
          },
          new SplittableRandom(2));
  private final TargetBackoffs backoffs =
      new TargetBackoffs(
          () -> nowMs,
          (task, delayMs) -> {
            scheduled.add(task);
            return () -> scheduled.remove(task);
          },
          new SplittableRandom(3),
          new DecisionLog(() -> nowMs, 1, line -> {}));
  private final Dispatcher dispatcher =
      new Dispatcher(
          state,
          LOCAL,
          () -> nowMs,
          new SplittableRandom(1),
          quotas,
          backoffs,
          target -> true,
          target -> 1);
  private final List<String> placed = new ArrayList<>();
  private final List<Slot> slots = new ArrayList<>();
  private final Map<String, TargetRefusal> refused = new HashMap<>();

  @Test
  void requestsWithoutKeyStayInTheirDataCentre() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY), target(FAR, REMOTE, TargetPhase.READY));
    submit("one", 1, OptionalInt.empty());
    assertThat(slots.get(0).target().id()).isEqualTo(NEAR);
  }

  @Test
  void largeBodiesStayLocalLongerThanSmallOnes() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY), target(FAR, REMOTE, TargetPhase.READY));
    submit("one", 1, OptionalInt.empty(), 100_000);
    submit("two", 1, OptionalInt.empty(), 100_000);
    assertThat(slots.get(1).target().id()).isEqualTo(NEAR);
    submit("small", 1, OptionalInt.empty(), 100);
    assertThat(slots.get(2).target().id()).isEqualTo(FAR);
  }

  /** Downloads are small requests with large responses. */
  @Test
  void largeResponsesStayLocalLikeLargeBodies() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY), target(FAR, REMOTE, TargetPhase.READY));
    SlotRequest first = submit("download", 1, OptionalInt.empty());
    submit("download", 1, OptionalInt.empty());
    assertThat(slots.get(1).target().id()).isEqualTo(FAR);
    first.setResponseBytes(100_000);
    dispatcher.release(slots.get(0), first, AttemptOutcome.ANSWERED, 100);
    submit("download", 1, OptionalInt.empty());
    submit("download", 1, OptionalInt.empty());
    assertThat(slots.get(2).target().id()).isEqualTo(NEAR);
    assertThat(slots.get(3).target().id()).isEqualTo(NEAR);
  }

  @Test
  void theOwnerOfTheKeyGetsItAsSoonAsItHasItsLease() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY), target(FAR, REMOTE, TargetPhase.READY));
    setOwner(FAR, false);
    SlotRequest request = submit("one", 1, OptionalInt.of(7));
    assertThat(placed).isEmpty();
    assertThat(dispatcher.waitReason(request)).isEqualTo("key_on_the_move");
    setOwner(FAR, true);
    assertThat(slots.get(0).target().id()).isEqualTo(FAR);
  }

  @Test
  void theMostUrgentOfThoseThatWaitIsFirst() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY));
    setOwner(NEAR, true);
    fillTarget();
    SlotRequest late = submit("late", 2, OptionalInt.of(7));
    submit("urgent", 0, OptionalInt.of(7));
    assertThat(dispatcher.waitReason(late)).isEqualTo("owner_busy");
    int before = placed.size();
    dispatcher.release(slots.get(0), late, AttemptOutcome.GIVEN_UP, 0);
    assertThat(placed.subList(before, placed.size())).containsExactly("urgent");
  }

  @Test
  void nothingGoesToTargetsThatLeaveOrWereReplaced() {
    setTargets(target(NEAR, LOCAL, TargetPhase.DRAINING), target(FAR, REMOTE, TargetPhase.READY));
    submit("one", 1, OptionalInt.empty());
    assertThat(slots.get(0).target().id()).isEqualTo(FAR);
    dispatcher.onReplaced(FAR);
    submit("two", 1, OptionalInt.empty());
    assertThat(placed).containsExactly("one");
    assertThat(dispatcher.takeReplaced()).containsExactly(FAR);
    assertThat(dispatcher.takeReplaced()).isEmpty();
  }

  @Test
  void withdrawnRequestsAreNotPlaced() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY));
    SlotRequest request = submit("one", 1, OptionalInt.of(7));
    assertThat(dispatcher.withdraw(request)).isTrue();
    assertThat(dispatcher.withdraw(request)).isFalse();
    setOwner(NEAR, true);
    assertThat(placed).isEmpty();
  }

  @Test
  void requestsBeyondTheCapacityOfTheOwnerAreShed() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY));
    KeyOwners owners = new KeyOwners(List.of(new RangeRoute(0, 65_535, NEAR, true, 40)));
    state.update(s -> s.withOwners(Map.of(SERVICE, owners), new OwnersVersion(1, 1)));
    SlotRequest keyed = request("one", 1, OptionalInt.of(7), 0);
    int shed = 0;
    for (int i = 0; i < 1_000; i++) {
      shed += dispatcher.shouldShed(keyed) ? 1 : 0;
    }
    assertThat(shed).isIn(Range.closed(340, 460));
    assertThat(dispatcher.shouldShed(request("two", 1, OptionalInt.empty(), 0))).isFalse();
  }

  /** Hot keys make the mean load of an owner exceed its slots, which are free in between. */
  @Test
  void hotKeysOfTargetsThatStateTheirLoadAreNotRefusedAtRandom() {
    KeyOwners owners = new KeyOwners(List.of(new RangeRoute(0, 65_535, NEAR, true, 95)));
    state.update(s -> s.withOwners(Map.of(SERVICE, owners), new OwnersVersion(1, 1)));
    dispatcher.onOccupancyStated(SERVICE);
    SlotRequest keyed = request("one", 1, OptionalInt.of(7), 0);
    for (int i = 0; i < 100; i++) {
      assertThat(dispatcher.shouldShed(keyed)).isFalse();
    }
  }

  @Test
  void ownersWithLimitsGetWhatTheHolderGrants() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY));
    setOwner(NEAR, true);
    setLimit(NEAR, "2");
    submit("one", 1, OptionalInt.of(7));
    submit("two", 1, OptionalInt.of(7));
    assertThat(placed).isEmpty();
    assertThat(quotaRequests).hasSize(1);
    quotas.onReply(new QuotaReply(NEAR, 1, new QuotaGrant(1, 400, 500)));
    assertThat(placed).containsExactly("one");
    assertThat(quotaRequests).hasSize(1);
    assertThat(refused.get("two").target()).isEqualTo(NEAR);
    assertThat(refused.get("two").retryAfterMs()).isAtLeast(400);
    submit("three", 1, OptionalInt.of(7));
    assertThat(refused.keySet()).containsExactly("two", "three");
    assertThat(refused.get("three").retryAfterMs())
        .isGreaterThan(refused.get("two").retryAfterMs());
  }

  @Test
  void requestsWithoutKeyGoElsewhereMeanwhile() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY), target(FAR, REMOTE, TargetPhase.READY));
    setLimit(NEAR, "2");
    submit("one", 1, OptionalInt.empty());
    assertThat(slots.get(0).target().id()).isEqualTo(FAR);
    assertThat(quotaRequests).hasSize(1);
    quotas.onReply(new QuotaReply(NEAR, 1, new QuotaGrant(1, 0, 500)));
    submit("two", 1, OptionalInt.empty());
    assertThat(slots.get(1).target().id()).isEqualTo(NEAR);
    setLimit(FAR, "2");
    submit("three", 1, OptionalInt.empty());
    quotas.onReply(new QuotaReply(NEAR, 1, new QuotaGrant(0, 400, 500)));
    assertThat(refused).isEmpty();
    quotas.onReply(new QuotaReply(FAR, 1, new QuotaGrant(0, 300, 500)));
    assertThat(refused.get("three").target()).isEqualTo(FAR);
  }

  @Test
  void missingQuotaRepliesEndTheWait() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY));
    setOwner(NEAR, true);
    setLimit(NEAR, "2");
    submit("one", 1, OptionalInt.of(7));
    nowMs += 151;
    List.copyOf(scheduled).forEach(Runnable::run);
    assertThat(refused.keySet()).containsExactly("one");
  }

  @Test
  void requestsForAnOwnerInBackoffAreRefusedAtOnce() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY));
    setOwner(NEAR, true);
    startBackoff(NEAR, 3_000);
    submit("one", 1, OptionalInt.of(7));
    assertThat(placed).isEmpty();
    assertThat(refused.get("one").cause()).isEqualTo(TargetRefusal.Cause.REST);
    assertThat(refused.get("one").retryAfterMs()).isIn(Range.closed(3_000L, 3_300L));
  }

  @Test
  void requestsThatWaitForAnOwnerAreRefusedWhenItAsksForBackoff() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY));
    setOwner(NEAR, true);
    fillTarget();
    submit("waits", 1, OptionalInt.of(7));
    assertThat(refused).isEmpty();
    startBackoff(NEAR, 3_000);
    assertThat(refused).containsKey("waits");
  }

  @Test
  void requestsWithoutKeyGoToTargetsWithoutBackoff() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY), target(FAR, REMOTE, TargetPhase.READY));
    startBackoff(NEAR, 3_000);
    submit("one", 1, OptionalInt.empty());
    submit("two", 1, OptionalInt.empty());
    assertThat(slots.get(0).target().id()).isEqualTo(FAR);
    assertThat(slots.get(1).target().id()).isEqualTo(FAR);
  }

  /** The requests that waited for the end of the back-off must not be sent all at once. */
  @Test
  void afterItsBackoffTheTargetGetsOneRequestFirst() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY));
    setOwner(NEAR, true);
    startBackoff(NEAR, 40);
    submit("one", 1, OptionalInt.of(7));
    submit("two", 1, OptionalInt.of(7));
    assertThat(placed).isEmpty();
    nowMs += 50;
    List.copyOf(scheduled).forEach(Runnable::run);
    assertThat(placed).containsExactly("one");
  }

  @Test
  void anotherRunOfTheTargetHasNoBackoff() {
    startBackoff(NEAR, 3_000);
    TargetId next = new TargetId("near-2");
    setTargets(target(next, LOCAL, TargetPhase.READY));
    setOwner(next, true);
    submit("one", 1, OptionalInt.of(7));
    assertThat(placed).containsExactly("one");
  }

  /** The registry still lists the target as ready and later reports it as ready again. */
  @Test
  void nothingGoesToTargetsThatHaveSaidThatTheyLeave() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY), target(FAR, REMOTE, TargetPhase.READY));
    state.update(snapshot -> snapshot.withLeaving(Set.of(NEAR)));
    submit("one", 1, OptionalInt.empty());
    setTargets(target(NEAR, LOCAL, TargetPhase.READY), target(FAR, REMOTE, TargetPhase.READY));
    submit("two", 1, OptionalInt.empty());
    assertThat(slots.get(0).target().id()).isEqualTo(FAR);
    assertThat(slots.get(1).target().id()).isEqualTo(FAR);
  }

  @Test
  void keysOfTargetsThatLeaveAreRefusedAtOnceWhileTheyCannotMove() {
    setTargets(target(NEAR, LOCAL, TargetPhase.READY));
    setOwner(NEAR, true);
    state.update(snapshot -> snapshot.withLeaving(Set.of(NEAR)));
    submit("waits for the move", 1, OptionalInt.of(7));
    assertThat(refused).isEmpty();
    state.setMovesPossible(false, nowMs);
    nowMs += 2_000;
    state.setMovesPossible(false, nowMs);
    submit("cannot move", 1, OptionalInt.of(7));
    assertThat(refused.get("cannot move").cause()).isEqualTo(TargetRefusal.Cause.STUCK_KEY);
    assertThat(refused.get("cannot move").retryAfterMs()).isEqualTo(2_000);
    state.setMovesPossible(true, nowMs);
    submit("may move again", 1, OptionalInt.of(7));
    assertThat(refused).doesNotContainKey("may move again");
  }

  private void startBackoff(TargetId target, long backoffMs) {
    backoffs.onStart(dispatcher::onBackoff);
    backoffs.start(target(target, LOCAL, TargetPhase.READY), backoffMs);
  }

  private void setLimit(TargetId target, String perS) {
    quotas.onQuotaRequest(quotaRequests::add);
    nowMs++;
    quotas.onAnswer(target, OptionalDouble.of(Double.parseDouble(perS)), nowMs);
  }

  private void fillTarget() {
    int waiting = dispatcher.waitingCount();
    while (dispatcher.waitingCount() == waiting) {
      submit("filler", 1, OptionalInt.of(7));
    }
  }

  private SlotRequest submit(String name, int priority, OptionalInt key) {
    return submit(name, priority, key, 0);
  }

  private SlotRequest submit(String name, int priority, OptionalInt key, int bodyBytes) {
    SlotRequest request = request(name, priority, key, bodyBytes);
    dispatcher.submit(request);
    return request;
  }

  private SlotRequest request(String name, int priority, OptionalInt key, int bodyBytes) {
    Route route =
        new Route(
            name,
            "h.example",
            "/a/",
            true,
            1_000,
            400,
            priority,
            List.of(new WeightedService(SERVICE, 1)),
            2);
    return new SlotRequest(
        route,
        SERVICE,
        key,
        bodyBytes,
        new RequestTimes(nowMs + 400, nowMs + 1_000),
        new SlotRequest.Listener() {
          @Override
          public void onPlaced(Slot slot) {
            placed.add(name);
            slots.add(slot);
          }

          @Override
          public void onRefused(TargetRefusal refusal) {
            refused.put(name, refusal);
          }
        });
  }

  private void setTargets(FleetTarget... targets) {
    state.update(snapshot -> snapshot.withTargets(List.of(targets)));
  }

  private void setOwner(TargetId id, boolean open) {
    KeyOwners owners = new KeyOwners(List.of(new RangeRoute(0, 65_535, id, open)));
    state.update(
        snapshot ->
            snapshot.withOwners(Map.of(SERVICE, owners), new OwnersVersion(1, ++ownersNumber)));
  }

  private static FleetTarget target(TargetId id, DataCentreId where, TargetPhase phase) {
    return new FleetTarget(id, SERVICE, id + ":1", where, 4, phase, 0);
  }
}
