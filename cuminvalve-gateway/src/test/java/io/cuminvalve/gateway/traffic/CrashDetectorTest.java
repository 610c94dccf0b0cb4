package io.cuminvalve.gateway.traffic;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.quarantine.RequestFingerprint;
import io.cuminvalve.core.quarantine.RequestIdentity;
import io.cuminvalve.testkit.time.VirtualClock;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A broken connection alone does not count as a crash. */
class CrashDetectorTest {

  private static final TargetId TARGET_ID = new TargetId("core-1");
  private static final FleetTarget TARGET =
      new FleetTarget(
          TARGET_ID,
          new ServiceId("core"),
          "10.0.0.1:1",
          new DataCentreId("here"),
          4,
          TargetPhase.READY,
          0);

  private static final RequestFingerprint CONTENT = new RequestFingerprint(1);
  private static final RequestIdentity IDENTITY = new RequestIdentity(CONTENT, CONTENT.by("a"));

  private final VirtualClock clock = new VirtualClock(1_000);
  private final RoutingState state = new RoutingState(10);
  private final List<String> crashed = new ArrayList<>();
  private TargetProbe.Finding probeResult = TargetProbe.Finding.SILENT;
  private int probes;
  private boolean pathDoubtful;
  private CrashDetector crashDetector;

  @BeforeEach
  void setUp() {
    state.update(snapshot -> snapshot.withTargets(List.of(TARGET)));
    crashDetector =
        new CrashDetector(
            state,
            (address, onDone) -> {
              probes++;
              onDone.accept(probeResult);
            },
            (task, delayMs) -> {
              clock.schedule(delayMs, task);
              return () -> {};
            },
            clock,
            () -> pathDoubtful);
    crashDetector.onCrash(
        attempts -> attempts.forEach(attempt -> crashed.add(attempt.attemptId())));
  }

  @Test
  void targetsThatRefuseConnectionsHaveEnded() {
    breakConnection("one");
    breakConnection("two");
    assertThat(crashed).isEmpty();
    crashDetector.onEnded(TARGET_ID);
    assertThat(crashed).containsExactly("one", "two");
    clock.advance(1_000);
    assertThat(probes).isEqualTo(0);
  }

  /** A cut link refuses connections too, while the targets run on. */
  @Test
  void refusedConnectionsProveNothingWhileThePathIsInDoubt() {
    pathDoubtful = true;
    probeResult = TargetProbe.Finding.REFUSED;
    breakConnection("one");
    crashDetector.onRefused(TARGET_ID);
    clock.advance(2_000);
    assertThat(crashed).isEmpty();
    pathDoubtful = false;
    clock.advance(1_000);
    assertThat(crashed).containsExactly("one");
  }

  /** Guards against crashes that go unnoticed since the next run listens before the probe. */
  @Test
  void targetsThatRefuseAndListenAgainHaveEnded() {
    probeResult = TargetProbe.Finding.LISTENING;
    breakConnection("one");
    crashDetector.onRefused(TARGET_ID);
    clock.advance(1_000);
    assertThat(crashed).containsExactly("one");
  }

  @Test
  void refusalsWhileThePathIsInDoubtProveNothingAfterItHasReturned() {
    pathDoubtful = true;
    probeResult = TargetProbe.Finding.REFUSED;
    breakConnection("one");
    crashDetector.onRefused(TARGET_ID);
    clock.advance(400);
    pathDoubtful = false;
    probeResult = TargetProbe.Finding.LISTENING;
    clock.advance(1_000);
    assertThat(crashed).isEmpty();
  }

  @Test
  void refusingTargetsHaveEndedIfAnotherOneAnswersLaterRequests() {
    breakConnection("one");
    crashDetector.onRefused(TARGET_ID);
    crashDetector.onAlive(new TargetId("core-2"), clock.nowMs() - 1);
    assertThat(crashed).isEmpty();
    crashDetector.onAlive(new TargetId("core-2"), clock.nowMs());
    assertThat(crashed).containsExactly("one");
    assertThat(probes).isEqualTo(0);
  }

  @Test
  void targetsWithoutOtherRequestsAreProbedOnce() {
    probeResult = TargetProbe.Finding.REFUSED;
    breakConnection("one");
    breakConnection("two");
    clock.advance(1_000);
    assertThat(crashed).containsExactly("one", "two");
    assertThat(probes).isEqualTo(1);
  }

  @Test
  void listeningTargetsAreAlive() {
    probeResult = TargetProbe.Finding.LISTENING;
    breakConnection("one");
    clock.advance(1_000);
    crashDetector.onEnded(TARGET_ID);
    assertThat(crashed).isEmpty();
  }

  @Test
  void responsesToLaterRequestsProveTheTargetAliveWithoutProbe() {
    breakConnection("one");
    clock.advance(10);
    crashDetector.onAlive(TARGET_ID, clock.nowMs());
    clock.advance(1_000);
    crashDetector.onEnded(TARGET_ID);
    assertThat(crashed).isEmpty();
    assertThat(probes).isEqualTo(0);
  }

  @Test
  void responsesToEarlierRequestsProveNothing() {
    clock.advance(100);
    final long beforeMs = clock.nowMs();
    clock.advance(100);
    breakConnection("one");
    crashDetector.onAlive(TARGET_ID, beforeMs);
    crashDetector.onEnded(TARGET_ID);
    assertThat(crashed).containsExactly("one");
  }

  @Test
  void silentTargetsHaveEndedOnceTheyAreUnregistered() {
    breakConnection("one");
    clock.advance(4_000);
    assertThat(crashed).isEmpty();
    state.update(snapshot -> snapshot.withTargets(List.of()));
    assertThat(crashed).containsExactly("one");
  }

  @Test
  void attemptsThatBrokeLongBeforeTheEndAreIgnored() {
    breakConnection("one");
    clock.advance(60_000);
    state.update(snapshot -> snapshot.withTargets(List.of()));
    assertThat(crashed).isEmpty();
  }

  @Test
  void memoryIsBounded() {
    for (int i = 0; i < 10_000; i++) {
      breakConnection("attempt-" + i);
    }
    crashDetector.onEnded(TARGET_ID);
    assertThat(crashed.size()).isLessThan(1_000);
    assertThat(crashed).isNotEmpty();
  }

  private void breakConnection(String attemptId) {
    long nowMs = clock.nowMs();
    crashDetector.onBroken(new BrokenAttempt(attemptId, IDENTITY, TARGET_ID, nowMs, nowMs), TARGET);
  }
}
