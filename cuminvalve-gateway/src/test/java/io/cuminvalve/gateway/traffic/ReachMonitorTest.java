package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.reach.ReachShare;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.testkit.time.VirtualClock;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ReachMonitorTest {

  private static final int TARGETS = 6;

  private final VirtualClock clock = new VirtualClock(10_000);
  private final RoutingState state = new RoutingState(1);
  private final List<String> lines = new ArrayList<>();
  private final List<FleetTarget> targets = new ArrayList<>();
  private TargetProbe.Finding finding = TargetProbe.Finding.REFUSED;
  private final Set<String> listening = new HashSet<>();
  private int probes;
  private int changes;
  private int timersSet;
  private ReachMonitor reach;

  @BeforeEach
  void registerTargets() {
    reach =
        new ReachMonitor(
            state,
            (address, onDone) -> {
              probes++;
              onDone.accept(listening.contains(address) ? TargetProbe.Finding.LISTENING : finding);
            },
            (task, delayMs) -> {
              timersSet++;
              clock.schedule(delayMs, task);
              return () -> {};
            },
            clock,
            new DecisionLog(clock, 100, lines::add));
    reach.onChange(() -> changes++);
    for (int i = 0; i < TARGETS; i++) {
      targets.add(
          new FleetTarget(
              new TargetId("t" + i),
              TrafficFixture.SERVICE,
              "10.0.0." + (i + 1) + ":1",
              TrafficFixture.HERE,
              4,
              TargetPhase.READY,
              0));
    }
    state.update(snapshot -> snapshot.withTargets(targets));
  }

  @Test
  void targetsAreNotProbedWhileAllIsWell() {
    for (int i = 0; i < 100; i++) {
      reach.onSent(targets.get(0).id());
      clock.advance(100);
      reach.onAnswer(targets.get(0).id());
      reach.onEnded(targets.get(0).id());
    }
    clock.advance(10_000);
    assertThat(probes).isEqualTo(0);
    assertThat(reach.share()).isEqualTo(new ReachShare(TARGETS, 0));
  }

  /** Every process pays for a timer that runs all the time. */
  @Test
  void noTimerRunsWhileNothingIsSentAndAllIsWell() {
    clock.advance(10_000);
    assertThat(timersSet).isEqualTo(0);
    reach.onSent(targets.get(0).id());
    reach.onAnswer(targets.get(0).id());
    reach.onEnded(targets.get(0).id());
    clock.advance(10_000);
    assertThat(timersSet).isEqualTo(1);
  }

  @Test
  void timerEndsSomeTimeAfterTroubleThatLeftNothing() {
    finding = TargetProbe.Finding.LISTENING;
    refuse(0);
    clock.advance(5_000);
    int before = timersSet;
    clock.advance(10_000);
    assertThat(timersSet).isEqualTo(before);
  }

  @Test
  void silentTargetIsProbedHoweverLongNothingWasSentBefore() {
    finding = TargetProbe.Finding.LISTENING;
    clock.advance(60_000);
    reach.onSent(targets.get(0).id());
    clock.advance(400);
    assertThat(probes).isEqualTo(1);
  }

  /** One refused connection is enough: probes of other targets tell the rest. */
  @Test
  void pathIsLostAfterOneRefusedConnectionIfProbesFailToo() {
    refuse(0);
    clock.advance(500);
    assertThat(targets.stream().anyMatch(reach::isUsable)).isFalse();
    assertThat(reach.share()).isEqualTo(new ReachShare(0, TARGETS));
    assertThat(changes).isEqualTo(1);
    assertThat(lines.toString()).contains("event=path_lost targets=6 why=REFUSED");
  }

  @Test
  void pathStaysIfOneProbeConnects() {
    finding = TargetProbe.Finding.LISTENING;
    refuse(0);
    refuse(1);
    clock.advance(5_000);
    assertThat(targets.stream().allMatch(reach::isUsable)).isTrue();
    assertThat(changes).isEqualTo(0);
    assertThat(probes).isAtMost(2);
  }

  @Test
  void pathIsBackSoonAfterProbesConnectAgain() {
    refuse(0);
    clock.advance(5_000);
    finding = TargetProbe.Finding.LISTENING;
    final int probesBefore = probes;
    clock.advance(800);
    assertThat(targets.stream().allMatch(reach::isUsable)).isTrue();
    assertThat(changes).isEqualTo(2);
    assertThat(lines.toString()).contains("event=path_regained targets=6 unreachable=0");
    assertThat(probes - probesBefore).isAtMost(20);
  }

  @Test
  void unansweredRequestsOfOldConnectionsAreReasonToProbe() {
    finding = TargetProbe.Finding.SILENT;
    targets.forEach(target -> reach.onSent(target.id()));
    clock.advance(2_500);
    assertThat(reach.share().reachable()).isEqualTo(0);
  }

  /** Old connections may live on while new ones are refused. */
  @Test
  void answeringTargetsAreUsedOnlyIfNoPeerRelays() {
    refuse(0);
    clock.advance(500);
    reach.onAnswer(targets.get(3).id());
    assertThat(reach.isUsable(targets.get(3))).isTrue();
    assertThat(reach.isUsable(targets.get(4))).isFalse();
    state.setRelayPeers(List.of(new RelayPeer("10.0.0.9:1", TrafficFixture.HERE)), UpperTime.NEVER);
    assertThat(reach.isUsable(targets.get(3))).isFalse();
  }

  /** A target whose host is gone answers no connection request; that says nothing of others. */
  @Test
  void targetThatTimesOutAloneIsUnreachableUntilProbed() {
    finding = TargetProbe.Finding.SILENT;
    targets.subList(1, TARGETS).forEach(target -> listening.add(target.address()));
    reach.onNotSent(targets.get(0).id(), new SocketTimeoutException("connect"));
    reach.onAnswer(targets.get(1).id());
    clock.advance(60);
    reach.onAnswer(targets.get(1).id());
    assertThat(reach.isUsable(targets.get(0))).isFalse();
    assertThat(reach.isUsable(targets.get(1))).isTrue();
    finding = TargetProbe.Finding.LISTENING;
    clock.advance(1_100);
    assertThat(reach.isUsable(targets.get(0))).isTrue();
  }

  private void refuse(int target) {
    reach.onNotSent(targets.get(target).id(), new ConnectException("refused"));
  }
}
