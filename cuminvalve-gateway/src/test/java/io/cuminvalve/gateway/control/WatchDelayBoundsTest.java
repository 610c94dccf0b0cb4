package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.DeputySelector;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.route.CallerBounds;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.gateway.GatewayPorts;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.fleet.RegistryChanges;
import io.cuminvalve.ports.fleet.RegistryListing;
import io.cuminvalve.ports.fleet.TargetRegistry;
import io.cuminvalve.testkit.time.VirtualClock;
import io.cuminvalve.testkit.time.VirtualExecutor;
import io.cuminvalve.wire.RecordCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Upper bounds on delays caused by silent connections, slow responses and refused calls. */
class WatchDelayBoundsTest {

  private static final long IN_FORCE_MS = 2_000;
  private static final long LARGE_FLEET_IN_FORCE_MS = 2_000;
  private static final long HEARTBEAT_MS = 300;

  private final VirtualClock clock = new VirtualClock(10_000);
  private final ControlThread control =
      new ControlThread("test", FailureHandler.logging(), new VirtualExecutor(clock));
  private final CursorStore store = new CursorStore(clock);
  private final DecisionLog log = new DecisionLog(clock, 100, line -> {});
  private final List<String> lines = new ArrayList<>();

  private KeyFollower follower(CursorStore from, long maxAgeMs) {
    return follower(from, PeerReliance.partial(() -> maxAgeMs));
  }

  private KeyFollower follower(CursorStore from, PeerReliance reliance) {
    return new KeyFollower(
        from,
        "key",
        control,
        clock,
        new DecisionLog(clock, 100, lines::add),
        150,
        reliance,
        result -> {});
  }

  /** The response has arrived but is not processed when the overdue watch is repeated. */
  @Test
  void responseThatArrivesWhileTheWatchIsRepeatedIsNotLost() {
    store.put((byte) 1);
    KeyFollower follower = follower(store, 1_460);
    control.execute(follower::start);
    clock.advance(0);
    assertThat(follower.revision()).isEqualTo(2);
    // The response to the change 500 ms later takes 550 ms, so it arrives together with the check
    // that finds the watch overdue. Due timers run before responses that arrive at the same time.
    store.setAnswerMs(550);
    clock.advance(499);
    store.put((byte) 2);
    clock.advance(5);
    store.setAnswerMs(0);
    clock.advance(60_000);
    assertThat(follower.revision()).isEqualTo(3);
  }

  @Test
  void slowResponsesAreProcessed() {
    store.put((byte) 1);
    KeyFollower follower = follower(store, 1_460);
    control.execute(follower::start);
    clock.advance(0);
    store.setAnswerMs(1_100);
    store.put((byte) 2);
    clock.advance(10_000);
    assertThat(follower.revision()).isEqualTo(3);
  }

  @Test
  void twoSilentConnectionsDelayChangesByLessThanTheBound() {
    long worst = worstDelayMs(8, 1);
    assertThat(worst).isAtMost(IN_FORCE_MS);
  }

  @Test
  void silentWatchesOfLargeFleetsDelayChangesByLessThanTheBound() {
    assertThat(worstDelayMs(87, 0)).isAtMost(LARGE_FLEET_IN_FORCE_MS);
  }

  @Test
  void silentWatchesOfTheLargestFleetsDelayChangesByLessThanTheBound() {
    assertThat(worstDelayMs(300, 0)).isAtMost(LARGE_FLEET_IN_FORCE_MS);
  }

  /** A gateway without a watch of its own receives nothing when its connections become silent. */
  @Test
  void silentLinksDelayChangesByLessThanTheBoundWithoutWatches() {
    assertThat(worstDelayMs(DeputySelector.DEPUTIES + 2, 1, true)).isAtMost(IN_FORCE_MS);
    assertThat(worstDelayMs(70, 1, true)).isAtMost(LARGE_FLEET_IN_FORCE_MS);
    assertThat(worstDelayMs(87, 1, true)).isAtMost(LARGE_FLEET_IN_FORCE_MS);
    assertThat(worstDelayMs(300, 0, true)).isAtMost(LARGE_FLEET_IN_FORCE_MS);
  }

  private long worstDelayMs(int processes, int furtherSilentCalls) {
    return worstDelayMs(processes, furtherSilentCalls, false);
  }

  /** The watch and the link to the holder become silent together, just after a confirmation. */
  private long worstDelayMs(int processes, int furtherSilentCalls, boolean reliesEntirely) {
    FleetTimings timings = new FleetTimings(new RoutingState(processes));
    PeerReliance reliance = new PeerReliance(timings::confirmedMs, () -> reliesEntirely);
    long worst = 0;
    for (int phase = 0; phase < 150; phase += 10) {
      CursorStore ofFollower = new CursorStore(clock);
      ofFollower.put((byte) 1);
      KeyFollower follower = follower(ofFollower, reliance);
      control.execute(follower::start);
      confirm(follower, 3_000);
      clock.advance(phase);
      // The data of the holder is at least one short wait and one response time old.
      follower.onPeerRevision(follower.revision(), clock.upper().minusMs(504));
      ofFollower.setAnswerMs(60_000);
      ofFollower.put((byte) 2);
      clock.advance(1);
      ofFollower.setAnswerMs(4);
      ofFollower.silenceNextCalls(furtherSilentCalls);
      long delayMs = 1;
      while (follower.revision() < 3 && delayMs < 20_000) {
        clock.advance(1);
        delayMs++;
      }
      worst = Math.max(worst, delayMs);
      control.execute(follower::close);
      clock.advance(0);
    }
    return worst;
  }

  /** A holder and another gateway follow the same key at a store that is fast or slow. */
  @Test
  void slowStoreDoesNotMultiplyCalls() {
    int quick = callsInOneMinute(4);
    int slow = callsInOneMinute(200);
    assertThat(slow).isAtMost(quick + 10);
  }

  private int callsInOneMinute(long answerMs) {
    int worst = 0;
    for (long offsetMs = 0; offsetMs < 700; offsetMs += 70) {
      CursorStore ofHolder = new CursorStore(clock);
      CursorStore ofOther = new CursorStore(clock);
      ofHolder.put((byte) 1);
      ofOther.put((byte) 1);
      ofHolder.setAnswerMs(answerMs);
      ofOther.setAnswerMs(answerMs);
      KeyFollower holder = follower(ofHolder, 1_460);
      KeyFollower other = follower(ofOther, 1_460);
      control.execute(holder::start);
      clock.advance(1_000 + offsetMs);
      control.execute(other::start);
      clock.advance(1_000);
      int before = ofOther.calls();
      for (long ms = 0; ms < 60_000; ms += HEARTBEAT_MS) {
        other.onPeerRevision(holder.revision(), clock.upper().minusMs(holder.ageMs()));
        clock.advance(HEARTBEAT_MS);
      }
      worst = Math.max(worst, ofOther.calls() - before);
      control.execute(holder::close);
      control.execute(other::close);
      clock.advance(0);
    }
    return worst;
  }

  /** Changes occur every 900 ms while one gateway is cut off from the store only. */
  @Test
  void gatewayThatMissedManyChangesIsSentTheConfiguration() {
    store.put((byte) 1);
    ConfigurationWatch watch =
        new ConfigurationWatch(
            new GatewayPorts(
                store,
                "configuration",
                WatchDelayBoundsTest::decode,
                bytes -> Set.of(),
                null,
                null,
                null),
            new RoutingState(1),
            control,
            clock,
            log,
            PeerReliance.partial(() -> 1_460),
            value -> {});
    control.execute(watch::start);
    clock.advance(10);
    final long lacking = watch.revision();
    boolean sent = false;
    for (int version = 2; version < 30; version++) {
      store.put((byte) version);
      for (long ms = 0; ms < 900; ms += HEARTBEAT_MS) {
        clock.advance(HEARTBEAT_MS);
        sent |= watch.missingFrom(lacking).isPresent();
      }
    }
    assertThat(sent).isTrue();
  }

  /** The store refuses a write (429, 503) after it has granted a lease; the term is vacant. */
  @Test
  void vacantTermIsAcquired() {
    assertThat(eventsOfOneCandidate(0)).contains("gained");
  }

  @Test
  void vacantTermIsAcquiredAfterOneRefusedWrite() {
    assertThat(eventsOfOneCandidate(1)).contains("gained");
  }

  private List<String> eventsOfOneCandidate(int refusedWrites) {
    List<String> seen = new ArrayList<>();
    TermLease.Listener listener =
        new TermLease.Listener() {
          @Override
          public void onGained(long term) {
            seen.add("gained");
          }

          @Override
          public void onLost() {
            seen.add("lost");
          }

          @Override
          public void onOtherHolder(String peerAddress) {
            seen.add("other");
          }
        };
    store.refuseNextWrites(refusedWrites);
    TermLease lease =
        new TermLease(
            store,
            control,
            clock,
            new SplittableRandom(1),
            log,
            new RecordCodec(),
            new TermHolderRecord("one", 1, "127.0.0.1:1"),
            true,
            1,
            () -> 0,
            9_500,
            PeerReliance.partial(() -> 1_460),
            listener);
    control.execute(lease::start);
    clock.advance(30_000);
    return seen;
  }

  /** The watch becomes silent; the store client gives up after 1,100 + 1,500 ms. */
  @Test
  void leavingTargetIsDetectedWithinItsDrainTime() {
    FleetTarget target = target("a");
    TargetRegistry registry =
        new TargetRegistry() {
          private int calls;

          @Override
          public CompletableFuture<RegistryListing> list() {
            return CompletableFuture.completedFuture(
                new RegistryListing(true, List.of(target), List.of(), 1, 0));
          }

          @Override
          public CompletableFuture<RegistryChanges> changes(long afterRevision, long waitMs) {
            CompletableFuture<RegistryChanges> answer = new CompletableFuture<>();
            calls++;
            if (calls == 1) {
              clock.schedule(
                  waitMs + 1_500,
                  () -> answer.complete(RegistryChanges.none(RegistryChanges.Status.UNAVAILABLE)));
            } else {
              answer.complete(
                  new RegistryChanges(
                      RegistryChanges.Status.ANSWERED,
                      List.of(),
                      List.of(target.id()),
                      List.of(),
                      9));
            }
            return answer;
          }
        };
    RegistryFollower follower =
        new RegistryFollower(registry, control, clock, log, List.of(), UpperTime.NEVER, () -> {});
    control.execute(follower::start);
    clock.advance(RegistryFollower.PACE_MS);
    clock.advance(IN_FORCE_MS);
    assertThat(follower.register().all()).isEmpty();
  }

  /** Each response takes longer than the time after which a call is repeated. */
  @Test
  void targetChangesAreReceivedFromSlowStores() {
    AtomicInteger calls = new AtomicInteger();
    TargetRegistry registry =
        new TargetRegistry() {
          @Override
          public CompletableFuture<RegistryListing> list() {
            return CompletableFuture.completedFuture(
                new RegistryListing(true, List.of(), List.of(), 1, 0));
          }

          @Override
          public CompletableFuture<RegistryChanges> changes(long afterRevision, long waitMs) {
            CompletableFuture<RegistryChanges> answer = new CompletableFuture<>();
            int call = calls.incrementAndGet();
            RegistryChanges changes =
                new RegistryChanges(
                    RegistryChanges.Status.ANSWERED,
                    List.of(target("target-" + call)),
                    List.of(),
                    List.of(),
                    call + 1);
            clock.schedule(waitMs + 1_000, () -> answer.complete(changes));
            return answer;
          }
        };
    RegistryFollower follower =
        new RegistryFollower(registry, control, clock, log, List.of(), UpperTime.NEVER, () -> {});
    control.execute(follower::start);
    clock.advance(10_000);
    int heard = follower.register().all().size();
    assertThat(heard).isAtLeast(calls.get() - 3);
    assertThat(heard).isAtLeast(5);
  }

  private static FleetTarget target(String id) {
    return new FleetTarget(
        new TargetId(id),
        new ServiceId("core"),
        "10.0.0.1:80",
        new DataCentreId("dc"),
        4,
        TargetPhase.READY,
        0);
  }

  private void confirm(KeyFollower follower, long durationMs) {
    for (long ms = 0; ms < durationMs; ms += HEARTBEAT_MS) {
      follower.onPeerRevision(follower.revision(), clock.upper());
      clock.advance(HEARTBEAT_MS);
    }
  }

  private static RoutingConfiguration decode(byte[] bytes) {
    return new RoutingConfiguration(bytes[0], List.of(), List.of(), new CallerBounds(1, 1, 1, 1));
  }
}
