package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.route.WeightedService;
import io.cuminvalve.core.waiting.RequestTimes;
import io.cuminvalve.gateway.observe.DecisionLog;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Load: 60 gateways at targets with 3 slots, compared with 8 gateways and 4 slots. */
class ScarcePlacesDispatcherTest {

  private static final ServiceId SERVICE = new ServiceId("core");
  private static final DataCentreId HERE = new DataCentreId("here");
  private static final TargetId LOW = new TargetId("low");
  private static final TargetId HIGH = new TargetId("high");
  private static final int LOW_KEY = 1;
  private static final int HIGH_KEY = 60_000;
  private static final long WORK_MS = 100;

  private long nowMs = 10_000;
  private final RoutingState state = new RoutingState(10);
  private final DecisionLog log = new DecisionLog(() -> nowMs, 1, line -> {});
  private final Dispatcher dispatcher =
      new Dispatcher(
          state,
          HERE,
          () -> nowMs,
          new SplittableRandom(1),
          new TargetQuotas(() -> nowMs, log, (task, ms) -> () -> {}, new SplittableRandom(2)),
          new TargetBackoffs(() -> nowMs, (task, ms) -> () -> {}, new SplittableRandom(3), log),
          target -> true,
          target -> 1);
  private final Map<String, Slot> placed = new LinkedHashMap<>();
  private final Map<String, TargetRefusal> refused = new HashMap<>();

  @Test
  void requestsThatCannotGetPlacesInTimeAreRefusedAtOnce() {
    share(60, 3);
    final SlotRequest running = measuredRequestAtLow();
    for (int i = 0; i < 8; i++) {
      submit("waits" + i, 1, LOW_KEY, 400, 2_500);
    }
    assertThat(refused).isEmpty();
    submit("ninth", 1, LOW_KEY, 400, 2_500);
    TargetRefusal refusal = refused.get("ninth");
    assertThat(refusal.cause()).isEqualTo(TargetRefusal.Cause.HOPELESS_WAIT);
    assertThat(refusal.waitMs()).isEqualTo(8 * WORK_MS + WORK_MS / 2);
    assertThat(refusal.retryAfterMs()).isAtMost(2_500 / 3);
    submit("more urgent", 0, LOW_KEY, 400, 2_500);
    assertThat(refused.keySet()).containsExactly("ninth");
    dispatcher.release(placed.get("running"), running, AttemptOutcome.ANSWERED, WORK_MS);
    assertThat(placed.keySet()).containsExactly("running", "more urgent").inOrder();
  }

  @Test
  void requestsWithLittleTimeAreRefusedWhereOthersWait() {
    share(60, 3);
    measuredRequestAtLow();
    submit("hurried", 1, LOW_KEY, 400, 150);
    submit("patient", 1, LOW_KEY, 400, 2_500);
    assertThat(refused.keySet()).containsExactly("hurried");
  }

  @Test
  void thoseWithinTheirAimAreServedBeforeThoseThatMissIt() {
    share(60, 3);
    final SlotRequest running = measuredRequestAtLow();
    submit("late", 1, LOW_KEY, 50, 2_500);
    submit("later", 1, LOW_KEY, 500, 2_500);
    submit("soon", 1, LOW_KEY, 300, 2_500);
    dispatcher.release(placed.get("running"), running, AttemptOutcome.ANSWERED, WORK_MS);
    assertThat(placed.keySet()).containsExactly("running", "soon").inOrder();
  }

  @Test
  void waitsAreReviewedUntilOneThirdOfTheTimeIsOver() {
    share(60, 3);
    measuredRequestAtLow();
    final SlotRequest request = submit("waits", 1, LOW_KEY, 400, 2_500);
    nowMs += 70;
    assertThat(dispatcher.reviewWait(request)).isEqualTo(OptionalLong.of(100));
    nowMs += 700;
    assertThat(dispatcher.reviewWait(request)).isEqualTo(OptionalLong.of(63));
    nowMs += 63;
    assertThat(dispatcher.reviewWait(request)).isEqualTo(OptionalLong.empty());
    assertThat(dispatcher.retryAfterMs(request).getAsLong()).isAtMost((2_500 - 833) / 3);
  }

  @Test
  void waitsThatBecomeHopelessEndWithTheNextReview() {
    share(60, 3);
    measuredRequestAtLow();
    final SlotRequest request = submit("waits", 1, LOW_KEY, 400, 2_500);
    for (int i = 0; i < 8; i++) {
      submit("urgent" + i, 0, LOW_KEY, 400, 2_500);
    }
    nowMs += 70;
    assertThat(dispatcher.reviewWait(request)).isEqualTo(OptionalLong.empty());
  }

  @Test
  void requestsForOwnersThatAreUnknownDoNotWaitLonger() {
    share(60, 3);
    final SlotRequest request = submit("waits", 1, LOW_KEY, 400, 2_500);
    state.update(
        s ->
            s.withOwners(
                Map.of(SERVICE, new KeyOwners(List.of(new RangeRoute(0, 65_535, LOW, false)))),
                new OwnersVersion(1, 9)));
    SlotRequest moved = submit("moves", 1, LOW_KEY, 400, 2_500);
    assertThat(dispatcher.reviewWait(moved)).isEqualTo(OptionalLong.empty());
    assertThat(dispatcher.retryAfterMs(moved)).isEqualTo(OptionalLong.empty());
    assertThat(dispatcher.reviewWait(request)).isEqualTo(OptionalLong.empty());
  }

  @Test
  void requestsWithoutKeyAreRefusedByAllTargetsTogether() {
    share(60, 3);
    SlotRequest first = submit("one", 1, -1, 400, 2_500);
    dispatcher.release(placed.get("one"), first, AttemptOutcome.ANSWERED, WORK_MS);
    submit("two", 1, -1, 400, 2_500);
    submit("three", 1, -1, 400, 2_500);
    int waiting = 0;
    while (refused.isEmpty()) {
      submit("waits" + waiting++, 1, -1, 400, 2_500);
    }
    assertThat(waiting).isAtLeast(16);
    assertThat(waiting).isAtMost(18);
  }

  /** Eight gateways and four slots: everything is decided as without scarce places. */
  @Test
  void placesThatAreNotScarceAreServedByPriorityAndArrival() {
    share(8, 4);
    final SlotRequest running = measuredRequestAtLow();
    while (dispatcher.waitingCount() == 0) {
      submit("late" + placed.size(), 1, LOW_KEY, 10, 100);
    }
    for (int i = 0; i < 100; i++) {
      submit("waits" + i, 1, LOW_KEY, 100 - i, 100);
    }
    assertThat(refused).isEmpty();
    int before = placed.size();
    String first = "late" + before;
    dispatcher.release(placed.get("running"), running, AttemptOutcome.ANSWERED, WORK_MS);
    assertThat(List.copyOf(placed.keySet()).get(before)).isEqualTo(first);
    SlotRequest last = submit("last", 1, LOW_KEY, 400, 2_500);
    assertThat(dispatcher.reviewWait(last)).isEqualTo(OptionalLong.empty());
    assertThat(dispatcher.retryAfterMs(last)).isEqualTo(OptionalLong.empty());
  }

  /** What a response leaves queued could not be placed by looking at every queued request. */
  @Test
  void responsesServeWhatFullSearchesWouldServe() {
    for (int seed = 0; seed < 100; seed++) {
      ScarcePlacesDispatcherTest fresh = new ScarcePlacesDispatcherTest();
      fresh.playAtRandom(new SplittableRandom(seed), seed % 2 == 0 ? 60 : 8);
    }
  }

  private void playAtRandom(SplittableRandom random, int processes) {
    share(processes, 3);
    Map<String, SlotRequest> requests = new HashMap<>();
    Deque<String> running = new ArrayDeque<>();
    int seen = 0;
    for (int step = 0; step < 300; step++) {
      nowMs += random.nextInt(20);
      if (random.nextBoolean()) {
        int key = new int[] {-1, LOW_KEY, HIGH_KEY}[random.nextInt(3)];
        String name = "r" + step;
        requests.put(name, submit(name, random.nextInt(3), key, 400, 5_000));
      } else if (random.nextInt(10) == 0) {
        own(random.nextInt(65_000), step + 2);
      } else if (!running.isEmpty()) {
        String done = running.poll();
        AttemptOutcome outcome =
            random.nextInt(8) == 0 ? AttemptOutcome.GIVEN_UP : AttemptOutcome.ANSWERED;
        dispatcher.release(placed.get(done), requests.get(done), outcome, random.nextInt(50, 200));
      }
      int before = placed.size();
      dispatcher.dispatchWaiting();
      assertThat(placed).hasSize(before);
      List<String> names = new ArrayList<>(placed.keySet());
      running.addAll(names.subList(seen, names.size()));
      seen = names.size();
    }
    assertThat(requests.size())
        .isEqualTo(placed.size() + refused.size() + dispatcher.waitingCount());
  }

  private SlotRequest measuredRequestAtLow() {
    SlotRequest first = submit("first", 1, LOW_KEY, 400, 2_500);
    dispatcher.release(placed.remove("first"), first, AttemptOutcome.GIVEN_UP, 0);
    SlotRequest measured = submit("measured", 1, LOW_KEY, 400, 2_500);
    dispatcher.release(placed.remove("measured"), measured, AttemptOutcome.ANSWERED, WORK_MS);
    return submit("running", 1, LOW_KEY, 400, 2_500);
  }

  private SlotRequest submit(String name, int priority, int key, long aimMs, long timeMs) {
    Route route =
        new Route(
            "route",
            "h.example",
            "/a/",
            true,
            1_000,
            400,
            priority,
            List.of(new WeightedService(SERVICE, 1)),
            2);
    SlotRequest.Listener listener =
        new SlotRequest.Listener() {
          @Override
          public void onPlaced(Slot slot) {
            placed.put(name, slot);
          }

          @Override
          public void onRefused(TargetRefusal refusal) {
            refused.put(name, refusal);
          }
        };
    SlotRequest request =
        new SlotRequest(
            route,
            SERVICE,
            key < 0 ? OptionalInt.empty() : OptionalInt.of(key),
            0,
            new RequestTimes(nowMs + aimMs, nowMs + timeMs),
            listener);
    dispatcher.submit(request);
    return request;
  }

  private void share(int processes, int slots) {
    state.update(s -> s.withProcesses(processes));
    state.update(s -> s.withTargets(List.of(target(LOW, slots), target(HIGH, slots))));
    own(32_767, 1);
  }

  private void own(int lastOfLow, long version) {
    KeyOwners owners =
        new KeyOwners(
            List.of(
                new RangeRoute(0, lastOfLow, LOW, true),
                new RangeRoute(lastOfLow + 1, 65_535, HIGH, true)));
    state.update(s -> s.withOwners(Map.of(SERVICE, owners), new OwnersVersion(1, version)));
  }

  private static FleetTarget target(TargetId id, int slots) {
    return new FleetTarget(id, SERVICE, id + ":1", HERE, slots, TargetPhase.READY, 0);
  }
}
