package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static io.cuminvalve.gateway.control.FollowingGateway.A;
import static io.cuminvalve.gateway.control.FollowingGateway.B;
import static io.cuminvalve.gateway.control.FollowingGateway.HOLDER;
import static io.cuminvalve.gateway.control.FollowingGateway.target;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.FleetSnapshot;
import io.cuminvalve.core.protocol.FollowerHeartbeat;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.TargetsChange;
import io.cuminvalve.core.protocol.TargetsPush;
import io.cuminvalve.gateway.traffic.TrafficFixture;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Checks that no request starts at a target more than 2 s after the registry accepted its
 * departure, whatever is slow, lost or cut off between the registry and a gateway that works
 * correctly itself.
 */
class FleetLinkTest {

  private static final long DRAIN_MS = 2_000;
  private static final long OBSERVED_MS = 20_000;
  private static final String NEXT_HOLDER = "10.0.0.2:1";
  private static final FleetTarget READY = target(A, TargetPhase.READY);
  private static final FleetTarget DRAINING = target(A, TargetPhase.DRAINING);

  private final VirtualClock clock = new VirtualClock(10_000);
  private final VirtualRegistry registry = new VirtualRegistry(clock);
  private final VirtualRegistry.Reader ownReader = registry.new Reader();
  private final VirtualRegistry.Reader holderReader = registry.new Reader();
  private final FollowingGateway gateway = new FollowingGateway(clock, clock, ownReader, true);

  private FollowingGateway.Holder startHolder() {
    registry.put(READY);
    final FollowingGateway.Holder holder =
        new FollowingGateway.Holder(clock, gateway, holderReader, HOLDER, 1);
    startGateway();
    gateway.receive(HOLDER, gateway.heartbeat(1, 0));
    clock.advance(5_000);
    assertThat(gateway.traffic.sendsTo(A)).isTrue();
    return holder;
  }

  private void startGateway() {
    gateway.start();
  }

  /**
   * Returns the time from now to the start of the last request at the leaving target; milliseconds.
   */
  private long lastSentAfterMs() {
    long last = 0;
    for (long ms = 1; ms <= OBSERVED_MS; ms++) {
      clock.advance(1);
      if (gateway.traffic.sendsTo(A)) {
        last = ms;
      }
    }
    return last;
  }

  private void assertNothingIsSentLate(String when) {
    assertWithMessage("time from the departure of the target to its last request, ms: " + when)
        .that(lastSentAfterMs())
        .isAtMost(DRAIN_MS);
  }

  @Test
  void departuresTakeEffectInTime() {
    startHolder();
    registry.put(DRAINING);
    assertNothingIsSentLate("nothing is slow");
  }

  /** Guards against timeouts that add up when the registry refuses only the calls of the holder. */
  @Test
  void departuresTakeEffectInTimeWhileTheRegistryRefusesTheHolder() {
    startHolder();
    long worst = 0;
    for (int phaseMs = 0; phaseMs < 1_100; phaseMs += 50) {
      clock.advance(phaseMs);
      holderReader.setRefused(true);
      clock.advance(2);
      registry.put(DRAINING);
      worst = Math.max(worst, lastSentAfterMs());
      holderReader.setRefused(false);
      registry.remove(A);
      clock.advance(10_000);
      registry.put(READY);
      clock.advance(10_000);
    }
    assertWithMessage(
            "time from the departure of the target to its last request, ms, in the worst phase")
        .that(worst)
        .isAtMost(DRAIN_MS);
  }

  /**
   * Guards against a delay if the first registry call of the gateway itself uses a connection that
   * no longer carries data.
   */
  @Test
  void departuresTakeEffectInTimeIfTheFirstListingIsNotAnswered() {
    startHolder();
    holderReader.setRefused(true);
    ownReader.silenceNextListings(1);
    registry.put(DRAINING);
    assertNothingIsSentLate("the first listing is not answered");
  }

  /** In a small fleet the end of the holder alone must not delay departures for too long. */
  @Test
  void departuresTakeEffectInTimeIfTheHolderEnds() {
    startHolder().end();
    registry.put(DRAINING);
    assertNothingIsSentLate("the holder of 2 gateways ended");
  }

  /**
   * Guards against a timeout for the silence of the holder that grows with the fleet, as the
   * intervals between heartbeats do.
   */
  @Test
  void departuresTakeEffectInTimeInLargeFleetsIfTheHolderEnds() {
    gateway.processes = 87;
    startHolder().end();
    registry.put(DRAINING);
    assertNothingIsSentLate("the holder of 87 gateways ended");
  }

  /** Guards against timeouts that add up in large fleets. */
  @Test
  void departuresTakeEffectInTimeInLargeFleetsWhileTheRegistryRefusesTheHolder() {
    gateway.processes = 87;
    startHolder();
    holderReader.setRefused(true);
    clock.advance(2);
    registry.put(DRAINING);
    assertNothingIsSentLate("the registry refuses the holder of 87 gateways");
  }

  /**
   * Guards against an age counted from the processing of a heartbeat rather than from its hello:
   * the link from the holder is slow.
   */
  @Test
  void departuresTakeEffectInTimeOverSlowLinks() {
    FollowingGateway.Holder holder = startHolder();
    holder.setDelayMs(2_600);
    clock.advance(10_000);
    registry.put(DRAINING);
    assertNothingIsSentLate("the link from the holder takes 2.6 s");
  }

  /**
   * Guards against an age counted from the processing of a registry answer rather than from its
   * request: the connection of the holder to the registry is slow.
   */
  @Test
  void departuresTakeEffectInTimeIfTheHoldersAnswersAreHeldUp() {
    startHolder();
    holderReader.setAnswerMs(2_600);
    clock.advance(10_000);
    // A change of another target makes this gateway follow the holder again instead of the
    // registry.
    registry.put(target(B, TargetPhase.DRAINING));
    clock.advance(10_000);
    registry.put(DRAINING);
    assertNothingIsSentLate("answers of the registry reach the holder after 2.6 s");
  }

  /**
   * Guards against a holder that takes its own brief disconnection for a registry outage and keeps
   * targets that were removed meanwhile.
   */
  @Test
  void removalsTakeEffectInTimeIfTheHolderAloneWasCutOffForShort() {
    startHolder();
    holderReader.setRefused(true);
    clock.advance(1);
    registry.remove(A);
    clock.schedule(1_500, () -> holderReader.setRefused(false));
    assertNothingIsSentLate("the holder alone was refused for 1.5 s");
  }

  /** Guards against changes that are lost in transit while heartbeats still arrive. */
  @Test
  void departuresTakeEffectInTimeIfChangesAreLost() {
    FollowingGateway.Holder holder = startHolder();
    holder.dropNextChanges(2);
    registry.put(DRAINING);
    clock.schedule(100, () -> registry.put(target(B, TargetPhase.READY)));
    assertNothingIsSentLate("two changes were lost");
  }

  /**
   * Guards against heartbeats that confirm the targets although this gateway has missed a change.
   */
  @Test
  void heartbeatsDoNotConfirmTargetsOfWhichChangesAreMissing() {
    receiveTargets(new TargetsPush(1, 1, List.of(READY)));
    final long receivedMs = clock.nowMs();
    clock.advance(200);
    TargetsChange third =
        new TargetsChange(1, 2, 3, List.of(target(B, TargetPhase.READY)), List.of());
    gateway.receive(HOLDER, third);
    gateway.receive(HOLDER, gateway.heartbeat(1, 10, 3, clock.upper().ms()));
    long ageMs = clock.upper().sinceMs(gateway.state.targetsConfirmed());
    assertWithMessage("age of the targets").that(ageMs).isAtLeast(clock.nowMs() - receivedMs);
  }

  /**
   * Guards against a change that is recorded but not installed when it arrives between the silence
   * timeout and the next heartbeat.
   */
  @Test
  void changesThatEndTheSilenceOfTheHolderAreUsed() {
    receiveTargets(new TargetsPush(1, 1, List.of(READY)));
    // Hellos are 300 ms apart. The last heartbeat arrives 100 ms before one of them, so the fourth
    // hello after it finds a silence of 1,000 ms unless another message arrives first.
    clock.advance(200);
    gateway.receive(HOLDER, gateway.heartbeat(1, 0));
    clock.advance(980);
    gateway.receive(HOLDER, new TargetsChange(1, 1, 2, List.of(DRAINING), List.of()));
    gateway.receive(HOLDER, gateway.heartbeat(1, 0));
    // The holder sends the targets that the hello shows to be missing.
    gateway.onSent =
        (address, message) -> {
          if (message instanceof FleetHello hello && hello.targetsVersion() < 2) {
            gateway.deliver(HOLDER, new TargetsPush(1, 2, List.of(DRAINING)));
          }
        };
    long last = 0;
    for (long ms = 1; ms <= OBSERVED_MS; ms++) {
      clock.advance(1);
      if (ms % 300 == 0) {
        gateway.receive(HOLDER, gateway.heartbeat(1, 0));
      }
      last = gateway.traffic.sendsTo(A) ? ms : last;
    }
    assertWithMessage("time from the receipt of the change to the last request, ms")
        .that(last)
        .isAtMost(DRAIN_MS);
  }

  /**
   * Guards against a new holder that has not read the registry yet but is treated as up to date.
   */
  @Test
  void departuresTakeEffectInTimeAcrossChangesOfTheHolder() {
    FollowingGateway.Holder first = startHolder();
    registry.put(DRAINING);
    first.end();
    clock.advance(1);
    VirtualRegistry.Reader nextReader = registry.new Reader();
    nextReader.silenceNextListings(1);
    clock.schedule(
        900,
        () ->
            new FollowingGateway.Holder(clock, gateway, nextReader, NEXT_HOLDER, 2).announceTerm());
    assertNothingIsSentLate(
        "the holder ended and the first listing of the next one is not answered");
  }

  /**
   * While the registry answers no one, it accepts no departure either, and the known targets stay
   * in use.
   */
  @Test
  void requestsGoOnWhileTheRegistryAnswersNobody() {
    startHolder();
    holderReader.setRefused(true);
    ownReader.setRefused(true);
    for (int ms = 0; ms < OBSERVED_MS; ms++) {
      clock.advance(1);
      assertThat(gateway.traffic.sendsTo(A)).isTrue();
    }
  }

  /**
   * Guards against treating a store that refuses only this gateway as a store outage: the holder
   * has ended, and another gateway reports that the store answers it.
   */
  @Test
  void departuresTakeEffectIfTheStoreRefusesThisGatewayAlone() {
    startHolder().end();
    ownReader.setRefused(true);
    registry.put(DRAINING);
    long last = 0;
    for (long ms = 1; ms <= OBSERVED_MS; ms++) {
      if (ms % 300 == 0) {
        gateway.receive(
            NEXT_HOLDER, new FollowerHeartbeat(1, HOLDER, 100, 0, 100, clock.upper().ms()));
      }
      clock.advance(1);
      last = gateway.traffic.sendsTo(A) ? ms : last;
    }
    assertWithMessage("time from the departure of the target to its last request, ms")
        .that(last)
        .isAtMost(DRAIN_MS);
  }

  /** Guards against random combinations of slow, silent and lost calls and messages. */
  @Test
  void departuresTakeEffectInTimeWhateverIsSlowBeforeThisGateway() {
    List<Integer> late = new ArrayList<>();
    long worst = 0;
    for (int seed = 0; seed < 100; seed++) {
      long lastMs = new FaultScenario(seed).lastSentAfterMs();
      worst = Math.max(worst, lastMs);
      if (lastMs > DRAIN_MS) {
        late.add(seed);
      }
    }
    assertWithMessage("seeds with a request later than 2 s; maximum is %s ms", worst)
        .that(late)
        .isEmpty();
  }

  /**
   * A gateway that works correctly, while faults are injected into its holder and links at random.
   */
  private static final class FaultScenario {

    private final VirtualClock time = new VirtualClock(10_000);
    private final VirtualRegistry entries = new VirtualRegistry(time);
    private final VirtualRegistry.Reader holdersReader = entries.new Reader();
    private final FollowingGateway follower;
    private final FollowingGateway.Holder holder;
    private final SplittableRandom random;

    FaultScenario(int seed) {
      random = new SplittableRandom(seed);
      follower = new FollowingGateway(time, time, entries.new Reader(), true);
      entries.put(READY);
      holder = new FollowingGateway.Holder(time, follower, holdersReader, HOLDER, 1);
      follower.start();
      follower.receive(HOLDER, follower.heartbeat(1, 0));
      time.advance(5_000 + random.nextInt(1_000));
    }

    long lastSentAfterMs() {
      for (int i = 0; i < 4; i++) {
        injectFault();
        time.advance(random.nextInt(700));
      }
      entries.put(DRAINING);
      long last = 0;
      for (long ms = 1; ms <= OBSERVED_MS; ms++) {
        if (ms % 500 == 0 && ms < 5_000) {
          injectFault();
        }
        time.advance(1);
        last = follower.traffic.sendsTo(A) ? ms : last;
      }
      return last;
    }

    private void injectFault() {
      switch (random.nextInt(5)) {
        case 0 -> holdersReader.setAnswerMs(random.nextInt(3_000));
        case 1 -> holdersReader.setRefused(random.nextBoolean());
        case 2 -> holder.setDelayMs(random.nextInt(1_500));
        case 3 -> holder.dropNextChanges(random.nextInt(3));
        default -> holdersReader.silenceNextListings(1);
      }
    }
  }

  /**
   * Guards against a new holder with older state that turns a draining target back into a ready
   * one.
   */
  @Test
  void runsThatWereSeenToDrainStaySo() {
    receiveTargets(new TargetsPush(1, 1, List.of(READY)));
    gateway.receive(HOLDER, new TargetsChange(1, 1, 2, List.of(DRAINING), List.of()));
    assertThat(gateway.traffic.sendsTo(A)).isFalse();
    gateway.receive(NEXT_HOLDER, gateway.heartbeat(2, 0));
    gateway.receive(NEXT_HOLDER, new TargetsPush(2, 1, List.of(READY)));
    assertThat(gateway.traffic.sendsTo(A)).isFalse();
  }

  /** Guards against an older push of the same term that undoes a later change. */
  @Test
  void pushesOfEarlierVersionsUndoNothing() {
    receiveTargets(new TargetsPush(1, 1, List.of(READY)));
    gateway.receive(HOLDER, new TargetsChange(1, 1, 2, List.of(), List.of(A)));
    gateway.receive(HOLDER, new TargetsPush(1, 1, List.of(READY)));
    assertThat(gateway.traffic.sendsTo(A)).isFalse();
  }

  /**
   * Guards against a departure announced in a response of the target that takes effect only once
   * the busy control thread has processed it.
   */
  @Test
  void departuresHeardInAnswersCountWhileTheControlThreadIsBusy() {
    VirtualClock controlClock = new VirtualClock(10_000);
    FollowingGateway busy = new FollowingGateway(clock, controlClock, ownReader, true);
    busy.start();
    controlClock.advance(0);
    busy.state.update(snapshot -> snapshot.withTargets(List.of(READY)));
    busy.state.watch(clock::upper, () -> 1_900, () -> false);
    busy.state.confirmTargets(clock.upper());
    assertThat(busy.traffic.sendsTo(A)).isTrue();
    busy.traffic.receiveLeavingSignal(A);
    clock.advance(DRAIN_MS + 1);
    busy.state.confirmTargets(clock.upper());
    assertWithMessage("request sent 2,001 ms after the target announced its departure here")
        .that(busy.traffic.sendsTo(A))
        .isFalse();
  }

  /**
   * Guards against sending on outdated state while the control thread is too busy to process newer
   * messages.
   */
  @Test
  void nothingIsSentOnKnowledgeThatGrewOldWhileTheControlThreadWasBusy() {
    VirtualClock controlClock = new VirtualClock(10_000);
    FollowingGateway busy = new FollowingGateway(clock, controlClock, ownReader, true);
    busy.start();
    busy.deliver(HOLDER, busy.heartbeat(1, 0));
    busy.deliver(HOLDER, new TargetsPush(1, 1, List.of(READY)));
    busy.deliver(HOLDER, busy.heartbeat(1, 0));
    controlClock.advance(0);
    clock.advance(0);
    controlClock.advance(0);
    assertThat(busy.traffic.sendsTo(A)).isTrue();
    busy.deliver(HOLDER, new TargetsChange(1, 1, 2, List.of(DRAINING), List.of()));
    clock.advance(DRAIN_MS + 1);
    assertWithMessage("request sent on targets confirmed 2,001 ms ago")
        .that(busy.traffic.sendsTo(A))
        .isFalse();
  }

  /**
   * Guards against a registry listing that may be seconds old but is used as current at the start
   * of a gateway.
   */
  @Test
  void listsOfUnknownAgeLeadNobodyToTargetsThatHaveLeft() {
    registry.put(READY);
    registry.put(DRAINING);
    ownReader.setStale(List.of(READY));
    clock.advance(DRAIN_MS);
    FollowingGateway started = new FollowingGateway(clock, clock, ownReader, false);
    started.start();
    clock.advance(500);
    assertWithMessage("request sent 2,500 ms after the registry accepted that the target drains")
        .that(started.traffic.sendsTo(A))
        .isFalse();
  }

  /** Guards against sending a starting gateway older targets than the sender itself uses. */
  @Test
  void startingGatewaysAreNotSentOlderTargetsThanTheSenderUses() {
    registry.put(READY);
    receiveTargets(new TargetsPush(1, 1, List.of(READY)));
    registry.put(DRAINING);
    clock.advance(3_000);
    assertThat(gateway.traffic.sendsTo(A)).isFalse();
    List<PeerMessage> sent = new ArrayList<>();
    gateway.onSent = (address, message) -> sent.add(message);
    gateway.receive(
        "10.0.0.8:1", new FleetHello("new", 0, 0, 0, 0, 0, "here", 1, 0, 0, 0, 0, "", 0, 0));
    List<FleetTarget> sentTargets =
        sent.stream()
            .filter(FleetSnapshot.class::isInstance)
            .flatMap(snapshot -> ((FleetSnapshot) snapshot).targets().targets().stream())
            .toList();
    assertThat(sentTargets).doesNotContain(READY);
  }

  @Test
  void holderTellsWhoMayRelayRequests() {
    startGateway();
    RelayPeer peer = new RelayPeer("10.0.0.9:1", TrafficFixture.HERE);
    gateway.receive(HOLDER, gateway.heartbeatWithRelays(List.of(peer)));
    assertThat(gateway.state.relayPeers()).containsExactly(peer);
  }

  private void receiveTargets(TargetsPush push) {
    startGateway();
    gateway.receive(HOLDER, gateway.heartbeat(1, 0));
    gateway.receive(HOLDER, push);
    gateway.receive(HOLDER, gateway.heartbeat(1, 0));
    assertThat(gateway.traffic.sendsTo(A)).isTrue();
  }
}
