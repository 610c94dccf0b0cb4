package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static io.cuminvalve.gateway.control.FollowingGateway.A;
import static io.cuminvalve.gateway.control.FollowingGateway.B;
import static io.cuminvalve.gateway.control.FollowingGateway.HOLDER;
import static io.cuminvalve.gateway.control.FollowingGateway.target;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.protocol.FleetHello;
import io.cuminvalve.core.protocol.FleetSnapshot;
import io.cuminvalve.core.protocol.FollowerHeartbeat;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.protocol.TargetsChange;
import io.cuminvalve.core.protocol.TargetsPush;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * No request begins at a target more than 2 s after the registry took that it leaves, whatever is
 * slow, lost or cut off between the registry and a gateway that is itself in order.
 */
class FleetLinkTest {

  private static final long DRAIN_MS = 2_000;
  private static final long WATCHED_MS = 20_000;
  private static final String NEXT_HOLDER = "10.0.0.2:1";
  private static final FleetTarget READY = target(A, TargetPhase.READY);
  private static final FleetTarget DRAINING = target(A, TargetPhase.DRAINING);

  private final VirtualClock clock = new VirtualClock(10_000);
  private final VirtualRegistry registry = new VirtualRegistry(clock);
  private final VirtualRegistry.Reader ownWay = registry.new Reader();
  private final VirtualRegistry.Reader holdersWay = registry.new Reader();
  private final FollowingGateway gateway = new FollowingGateway(clock, clock, ownWay, true);

  private FollowingGateway.Holder startHolder() {
    registry.put(READY);
    final FollowingGateway.Holder holder =
        new FollowingGateway.Holder(clock, gateway, holdersWay, HOLDER, 1);
    startGateway();
    gateway.hear(HOLDER, gateway.beat(1, 0));
    clock.advance(5_000);
    assertThat(gateway.traffic.sendsTo(A)).isTrue();
    return holder;
  }

  private void startGateway() {
    gateway.start();
  }

  /** Returns how long after now the last request began at the target that leaves; milliseconds. */
  private long lastSentAfterMs() {
    long last = 0;
    for (long ms = 1; ms <= WATCHED_MS; ms++) {
      clock.advance(1);
      if (gateway.traffic.sendsTo(A)) {
        last = ms;
      }
    }
    return last;
  }

  private void assertNothingIsSentLate(String when) {
    assertWithMessage("last request begins so many ms after the target left, " + when)
        .that(lastSentAfterMs())
        .isAtMost(DRAIN_MS);
  }

  @Test
  void departuresAreHeardInTime() {
    startHolder();
    registry.put(DRAINING);
    assertNothingIsSentLate("nothing is slow");
  }

  /** Guards against the sum of the timers: only the holder's calls of the registry are refused. */
  @Test
  void departuresAreHeardInTimeWhileTheRegistryRefusesTheHolder() {
    startHolder();
    long worst = 0;
    for (int phaseMs = 0; phaseMs < 1_100; phaseMs += 50) {
      clock.advance(phaseMs);
      holdersWay.setRefused(true);
      clock.advance(2);
      registry.put(DRAINING);
      worst = Math.max(worst, lastSentAfterMs());
      holdersWay.setRefused(false);
      registry.remove(A);
      clock.advance(10_000);
      registry.put(READY);
      clock.advance(10_000);
    }
    assertWithMessage("last request begins so many ms after the target left, of all phases")
        .that(worst)
        .isAtMost(DRAIN_MS);
  }

  /** Guards against a first look of one's own on a connection that carries nothing any more. */
  @Test
  void departuresAreHeardInTimeIfTheFirstLookIsSilent() {
    startHolder();
    holdersWay.setRefused(true);
    ownWay.silenceNextListings(1);
    registry.put(DRAINING);
    assertNothingIsSentLate("and the first listing is silent");
  }

  /** In a narrow fleet the end of the holder alone delays nothing for too long. */
  @Test
  void departuresAreHeardInTimeIfTheHolderEnds() {
    startHolder().end();
    registry.put(DRAINING);
    assertNothingIsSentLate("the holder of 2 gateways ended");
  }

  /** Guards against the silence that wide fleets bear: the pauses between beats grow with them. */
  @Test
  void departuresAreHeardInTimeInWideFleetsIfTheHolderEnds() {
    gateway.processes = 87;
    startHolder().end();
    registry.put(DRAINING);
    assertNothingIsSentLate("the holder of 87 gateways ended");
  }

  /** Guards against the sum of the timers in wide fleets. */
  @Test
  void departuresAreHeardInTimeInWideFleetsWhileTheRegistryRefusesTheHolder() {
    gateway.processes = 87;
    startHolder();
    holdersWay.setRefused(true);
    clock.advance(2);
    registry.put(DRAINING);
    assertNothingIsSentLate("the registry refuses the holder of 87 gateways");
  }

  /** Guards against an age that begins when a beat is looked at: the holder's link is slow. */
  @Test
  void departuresAreHeardInTimeOverSlowLinks() {
    FollowingGateway.Holder holder = startHolder();
    holder.setDelayMs(2_600);
    clock.advance(10_000);
    registry.put(DRAINING);
    assertNothingIsSentLate("the link from the holder takes 2.6 s");
  }

  /** Guards against an age that begins when an answer is looked at: the holder's way is slow. */
  @Test
  void departuresAreHeardInTimeIfTheHoldersAnswersAreHeldUp() {
    startHolder();
    holdersWay.setAnswerMs(2_600);
    clock.advance(10_000);
    // The holder's word on another target ends the look of its own that this gateway had begun.
    registry.put(target(B, TargetPhase.DRAINING));
    clock.advance(10_000);
    registry.put(DRAINING);
    assertNothingIsSentLate("answers of the registry reach the holder after 2.6 s");
  }

  /** Guards against a holder that takes its own short cut for an outage and keeps what is gone. */
  @Test
  void removalsAreHeardInTimeIfTheHolderAloneWasCutOffForShort() {
    startHolder();
    holdersWay.setRefused(true);
    clock.advance(1);
    registry.remove(A);
    clock.schedule(1_500, () -> holdersWay.setRefused(false));
    assertNothingIsSentLate("the holder alone was refused for 1.5 s");
  }

  /** Guards against changes that are lost on their way while beats go on. */
  @Test
  void departuresAreHeardInTimeIfChangesAreLost() {
    FollowingGateway.Holder holder = startHolder();
    holder.loseNextChanges(2);
    registry.put(DRAINING);
    clock.schedule(100, () -> registry.put(target(B, TargetPhase.READY)));
    assertNothingIsSentLate("two changes were lost");
  }

  /** Guards against beats that vouch for targets of which this gateway lacks a change. */
  @Test
  void beatsDoNotConfirmTargetsOfWhichChangesAreMissing() {
    hearTargets(new TargetsPush(1, 1, List.of(READY)));
    final long toldMs = clock.nowMs();
    clock.advance(200);
    TargetsChange third =
        new TargetsChange(1, 2, 3, List.of(target(B, TargetPhase.READY)), List.of());
    gateway.hear(HOLDER, third);
    gateway.hear(HOLDER, gateway.beat(1, 10, 3, clock.upper().ms()));
    long ageMs = clock.upper().sinceMs(gateway.state.targetsConfirmed());
    assertWithMessage("age of the targets").that(ageMs).isAtLeast(clock.nowMs() - toldMs);
  }

  /** Guards against a change that is noted but not used, between silence and a beat. */
  @Test
  void changesThatEndTheSilenceOfTheHolderAreUsed() {
    hearTargets(new TargetsPush(1, 1, List.of(READY)));
    // Turns of the pace are 300 ms apart: the last word comes 100 ms before one, so the fourth
    // turn after it finds a silence of 1,000 ms if nothing comes before it.
    clock.advance(200);
    gateway.hear(HOLDER, gateway.beat(1, 0));
    clock.advance(980);
    gateway.hear(HOLDER, new TargetsChange(1, 1, 2, List.of(DRAINING), List.of()));
    gateway.hear(HOLDER, gateway.beat(1, 0));
    // A holder sends what the hello lacks.
    gateway.onSent =
        (address, message) -> {
          if (message instanceof FleetHello hello && hello.targetsVersion() < 2) {
            gateway.arrive(HOLDER, new TargetsPush(1, 2, List.of(DRAINING)));
          }
        };
    long last = 0;
    for (long ms = 1; ms <= WATCHED_MS; ms++) {
      clock.advance(1);
      if (ms % 300 == 0) {
        gateway.hear(HOLDER, gateway.beat(1, 0));
      }
      last = gateway.traffic.sendsTo(A) ? ms : last;
    }
    assertWithMessage("last request begins so many ms after the change was heard")
        .that(last)
        .isAtMost(DRAIN_MS);
  }

  /** Guards against a next holder that has read nothing yet and passes for one that knows. */
  @Test
  void departuresAreHeardInTimeAcrossChangesOfTheHolder() {
    FollowingGateway.Holder first = startHolder();
    registry.put(DRAINING);
    first.end();
    clock.advance(1);
    VirtualRegistry.Reader nextWay = registry.new Reader();
    nextWay.silenceNextListings(1);
    clock.schedule(
        900,
        () ->
            new FollowingGateway.Holder(clock, gateway, nextWay, NEXT_HOLDER, 2)
                .sayItHoldsTheTerm());
    assertNothingIsSentLate("the holder ended and the next one's first listing is silent");
  }

  /** The registry answers nobody: no departure is taken then, and what is known goes on serving. */
  @Test
  void requestsGoOnWhileTheRegistryAnswersNobody() {
    startHolder();
    holdersWay.setRefused(true);
    ownWay.setRefused(true);
    for (int ms = 0; ms < WATCHED_MS; ms++) {
      clock.advance(1);
      assertThat(gateway.traffic.sendsTo(A)).isTrue();
    }
  }

  /**
   * Guards against a refusal of this gateway alone that passes for a store that answers nobody: its
   * holder is gone, and another gateway tells that the store answers it.
   */
  @Test
  void departuresAreHeededIfTheStoreRefusesThisGatewayAlone() {
    startHolder().end();
    ownWay.setRefused(true);
    registry.put(DRAINING);
    long last = 0;
    for (long ms = 1; ms <= WATCHED_MS; ms++) {
      if (ms % 300 == 0) {
        gateway.hear(
            NEXT_HOLDER, new FollowerHeartbeat(1, HOLDER, 100, 0, 100, clock.upper().ms()));
      }
      clock.advance(1);
      last = gateway.traffic.sendsTo(A) ? ms : last;
    }
    assertWithMessage("last request begins so many ms after the target left")
        .that(last)
        .isAtMost(DRAIN_MS);
  }

  /** Guards against whatever is slow, silent or lost at random, and sums of it. */
  @Test
  void departuresAreHeardInTimeWhateverIsSlowBeforeThisGateway() {
    List<Integer> late = new ArrayList<>();
    long worst = 0;
    for (int seed = 0; seed < 100; seed++) {
      long lastMs = new DisturbedDay(seed).lastSentAfterMs();
      worst = Math.max(worst, lastMs);
      if (lastMs > DRAIN_MS) {
        late.add(seed);
      }
    }
    assertWithMessage("seeds in which a request begins later than 2 s; worst is %s ms", worst)
        .that(late)
        .isEmpty();
  }

  /** A gateway in order, whose holder and links are disturbed at random. */
  private static final class DisturbedDay {

    private final VirtualClock time = new VirtualClock(10_000);
    private final VirtualRegistry entries = new VirtualRegistry(time);
    private final VirtualRegistry.Reader holdersReader = entries.new Reader();
    private final FollowingGateway follower;
    private final FollowingGateway.Holder holder;
    private final SplittableRandom random;

    DisturbedDay(int seed) {
      random = new SplittableRandom(seed);
      follower = new FollowingGateway(time, time, entries.new Reader(), true);
      entries.put(READY);
      holder = new FollowingGateway.Holder(time, follower, holdersReader, HOLDER, 1);
      follower.start();
      follower.hear(HOLDER, follower.beat(1, 0));
      time.advance(5_000 + random.nextInt(1_000));
    }

    long lastSentAfterMs() {
      for (int i = 0; i < 4; i++) {
        disturb();
        time.advance(random.nextInt(700));
      }
      entries.put(DRAINING);
      long last = 0;
      for (long ms = 1; ms <= WATCHED_MS; ms++) {
        if (ms % 500 == 0 && ms < 5_000) {
          disturb();
        }
        time.advance(1);
        last = follower.traffic.sendsTo(A) ? ms : last;
      }
      return last;
    }

    private void disturb() {
      switch (random.nextInt(5)) {
        case 0 -> holdersReader.setAnswerMs(random.nextInt(3_000));
        case 1 -> holdersReader.setRefused(random.nextBoolean());
        case 2 -> holder.setDelayMs(random.nextInt(1_500));
        case 3 -> holder.loseNextChanges(random.nextInt(3));
        default -> holdersReader.silenceNextListings(1);
      }
    }
  }

  /** Guards against a next holder that knows less and turns a run that drains back into ready. */
  @Test
  void runsThatWereSeenToDrainStaySo() {
    hearTargets(new TargetsPush(1, 1, List.of(READY)));
    gateway.hear(HOLDER, new TargetsChange(1, 1, 2, List.of(DRAINING), List.of()));
    assertThat(gateway.traffic.sendsTo(A)).isFalse();
    gateway.hear(NEXT_HOLDER, gateway.beat(2, 0));
    gateway.hear(NEXT_HOLDER, new TargetsPush(2, 1, List.of(READY)));
    assertThat(gateway.traffic.sendsTo(A)).isFalse();
  }

  /** Guards against an earlier push of a term that undoes a later change. */
  @Test
  void pushesOfEarlierVersionsUndoNothing() {
    hearTargets(new TargetsPush(1, 1, List.of(READY)));
    gateway.hear(HOLDER, new TargetsChange(1, 1, 2, List.of(), List.of(A)));
    gateway.hear(HOLDER, new TargetsPush(1, 1, List.of(READY)));
    assertThat(gateway.traffic.sendsTo(A)).isFalse();
  }

  /** Guards against a departure heard in an answer that waits for a control thread that is busy. */
  @Test
  void departuresHeardInAnswersCountWhileTheControlThreadIsBusy() {
    VirtualClock controlClock = new VirtualClock(10_000);
    FollowingGateway busy = new FollowingGateway(clock, controlClock, ownWay, true);
    busy.start();
    controlClock.advance(0);
    busy.state.update(snapshot -> snapshot.withTargets(List.of(READY)));
    busy.state.watch(clock::upper, () -> 1_900, () -> false);
    busy.state.confirmTargets(clock.upper());
    assertThat(busy.traffic.sendsTo(A)).isTrue();
    busy.traffic.hearLeaving(A);
    clock.advance(DRAIN_MS + 1);
    busy.state.confirmTargets(clock.upper());
    assertWithMessage("sent 2,001 ms after the target said here that it leaves")
        .that(busy.traffic.sendsTo(A))
        .isFalse();
  }

  /** Guards against a control thread that is busy for so long that all it knows is too old. */
  @Test
  void nothingIsSentOnKnowledgeThatGrewOldWhileTheControlThreadWasBusy() {
    VirtualClock controlClock = new VirtualClock(10_000);
    FollowingGateway busy = new FollowingGateway(clock, controlClock, ownWay, true);
    busy.start();
    busy.arrive(HOLDER, busy.beat(1, 0));
    busy.arrive(HOLDER, new TargetsPush(1, 1, List.of(READY)));
    busy.arrive(HOLDER, busy.beat(1, 0));
    controlClock.advance(0);
    clock.advance(0);
    controlClock.advance(0);
    assertThat(busy.traffic.sendsTo(A)).isTrue();
    busy.arrive(HOLDER, new TargetsChange(1, 1, 2, List.of(DRAINING), List.of()));
    clock.advance(DRAIN_MS + 1);
    assertWithMessage("sent on targets that were confirmed 2,001 ms ago")
        .that(busy.traffic.sendsTo(A))
        .isFalse();
  }

  /** Guards against a list that may be seconds old and is used as if it were new at a start. */
  @Test
  void listsOfUnknownAgeLeadNobodyToTargetsThatHaveLeft() {
    registry.put(READY);
    registry.put(DRAINING);
    ownWay.setStale(List.of(READY));
    clock.advance(DRAIN_MS);
    FollowingGateway started = new FollowingGateway(clock, clock, ownWay, false);
    started.start();
    clock.advance(500);
    assertWithMessage("sent 2,500 ms after the registry took that it drains")
        .that(started.traffic.sendsTo(A))
        .isFalse();
  }

  /** Guards against news to a gateway that starts, from one that knows better itself. */
  @Test
  void gatewaysThatStartAreNotToldOlderTargetsThanTheTellerUses() {
    registry.put(READY);
    hearTargets(new TargetsPush(1, 1, List.of(READY)));
    registry.put(DRAINING);
    clock.advance(3_000);
    assertThat(gateway.traffic.sendsTo(A)).isFalse();
    List<PeerMessage> sent = new ArrayList<>();
    gateway.onSent = (address, message) -> sent.add(message);
    gateway.hear("10.0.0.8:1", new FleetHello("new", 0, 0, 0, 0, 0, "here", 1, 0, 0, 0, 0));
    List<FleetTarget> told =
        sent.stream()
            .filter(FleetSnapshot.class::isInstance)
            .flatMap(news -> ((FleetSnapshot) news).targets().targets().stream())
            .toList();
    assertThat(told).doesNotContain(READY);
  }

  private void hearTargets(TargetsPush push) {
    startGateway();
    gateway.hear(HOLDER, gateway.beat(1, 0));
    gateway.hear(HOLDER, push);
    gateway.hear(HOLDER, gateway.beat(1, 0));
    assertThat(gateway.traffic.sendsTo(A)).isTrue();
  }
}
