package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.quarantine.RequestFingerprint;
import io.cuminvalve.core.quarantine.RequestIdentity;
import io.cuminvalve.gateway.traffic.BrokenAttempt;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * A request crashes one target after another, each time through a different gateway, in fleets
 * whose holder and deputies fail meanwhile. Time is virtual; messages of failed gateways are lost.
 */
class CrashCoordinatorTest {

  /** Time after the third crash within which all gateways must refuse the request. */
  private static final long REFUSED_WITHIN_MS = 3_000;

  private static final RequestFingerprint CONTENT = new RequestFingerprint(42);
  private static final RequestIdentity CRASHING = new RequestIdentity(CONTENT, CONTENT.by("a"));
  private static final RequestFingerprint SHARED = new RequestFingerprint(43);
  private static final RequestIdentity HARMLESS = new RequestIdentity(SHARED, SHARED.by("a"));

  private int targets;

  @Test
  void requestIsRefusedAfterOneCrashAtEachOfThreeGateways() {
    CrashFleet fleet = new CrashFleet(5, new Random(1));
    for (int i = 0; i < 3; i++) {
      crash(fleet, i, CRASHING);
      fleet.run(1_000);
    }
    assertThat(fleet.refusing(CRASHING)).isEqualTo(5);
    assertThat(fleet.refusing(HARMLESS)).isEqualTo(0);
  }

  @Test
  void everyGatewayOfLargeFleetRefusesItInTime() {
    CrashFleet fleet = new CrashFleet(95, new Random(2));
    for (int i = 0; i < 3; i++) {
      crash(fleet, 20 + 20 * i, CRASHING);
      fleet.run(i < 2 ? 1_000 : REFUSED_WITHIN_MS);
    }
    assertThat(fleet.refusing(CRASHING)).isEqualTo(95);
  }

  /** Holders and deputies may fail just after each crash, before they have informed others. */
  @Test
  void crashesSurviveLossOfHolderAndDeputies() {
    for (long seed = 0; seed < 60; seed++) {
      Random random = new Random(seed);
      CrashFleet fleet = new CrashFleet(3 + random.nextInt(60), random);
      for (int crash = 0; crash < 3; crash++) {
        crash(fleet, fleet.randomLive(), CRASHING);
        fleet.run(random.nextInt(300));
        if (random.nextBoolean()) {
          fleet.loseHolder();
        }
        if (random.nextBoolean()) {
          fleet.loseDeputy();
        }
        fleet.run(3_500);
      }
      assertThat(fleet.refusing(CRASHING)).isEqualTo(fleet.live());
    }
  }

  /** Copies arrive in bursts at all gateways; only one at a time may be sent as a trial. */
  @Test
  void trialsOfWatchedRequestsAreNotConcurrent() {
    CrashFleet fleet = new CrashFleet(20, new Random(8));
    crash(fleet, 1, CRASHING);
    fleet.run(1_000);
    crash(fleet, 2, CRASHING);
    fleet.run(1_000);
    for (int i = 0; i < 30; i++) {
      fleet.requestTrials(CONTENT);
      fleet.run(100);
    }
    assertThat(fleet.permits()).isAtLeast(1);
    assertThat(fleet.permits()).isAtMost(3);
  }

  @Test
  void nextHolderInformsStartedGateways() {
    CrashFleet fleet = new CrashFleet(20, new Random(3));
    for (int i = 0; i < 3; i++) {
      crash(fleet, i + 10, CRASHING);
      fleet.run(1_000);
    }
    fleet.loseHolder();
    fleet.restart(15);
    fleet.run(REFUSED_WITHIN_MS);
    assertThat(fleet.refusing(CRASHING)).isEqualTo(fleet.live());
  }

  @Test
  void quarantineSurvivesLossOfTheWholeFleet() {
    CrashFleet fleet = new CrashFleet(20, new Random(6));
    for (int i = 0; i < 3; i++) {
      crash(fleet, i, CRASHING);
      fleet.run(1_000);
    }
    fleet.loseAll();
    fleet.run(REFUSED_WITHIN_MS);
    assertThat(fleet.refusing(CRASHING)).isEqualTo(20);
  }

  /** A frequent request is running whenever a target crashes, but it is answered in between. */
  @Test
  void requestThatIsAnsweredMeanwhileIsServedEverywhere() {
    CrashFleet fleet = new CrashFleet(20, new Random(4));
    for (int i = 0; i < 10; i++) {
      crash(fleet, i, HARMLESS);
      fleet.run(40);
      fleet.answer(19 - i, HARMLESS);
      fleet.run(400);
      assertThat(fleet.refusing(HARMLESS)).isEqualTo(0);
    }
  }

  /** The responses arrived before any gateway was informed of the crashes. */
  @Test
  void responsesBeforeTheUpdateCount() {
    CrashFleet fleet = new CrashFleet(20, new Random(5));
    for (int i = 0; i < 3; i++) {
      crash(fleet, i, HARMLESS);
      fleet.answer(10 + i, HARMLESS);
    }
    fleet.run(1_000);
    assertThat(fleet.refusing(HARMLESS)).isEqualTo(0);
  }

  private void crash(CrashFleet fleet, int gateway, RequestIdentity identity) {
    targets++;
    long nowMs = fleet.nowMs();
    fleet.crash(
        gateway,
        List.of(
            new BrokenAttempt(
                "attempt-" + targets,
                identity,
                new TargetId("core-" + targets),
                nowMs,
                nowMs + 1)));
  }
}
