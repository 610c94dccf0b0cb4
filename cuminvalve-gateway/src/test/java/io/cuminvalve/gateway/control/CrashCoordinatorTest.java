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
 * A request ends one target after the other, seen by another gateway each time, in fleets whose
 * holder and deputies get lost meanwhile. Virtual time; the network loses what is under way.
 */
class CrashCoordinatorTest {

  /** Everybody has to know so long after the third crash. */
  private static final long KNOWN_WITHIN_MS = 3_000;

  private static final RequestFingerprint CONTENT = new RequestFingerprint(42);
  private static final RequestIdentity DEADLY = new RequestIdentity(CONTENT, CONTENT.by("a"));
  private static final RequestFingerprint SHARED = new RequestFingerprint(43);
  private static final RequestIdentity HARMLESS = new RequestIdentity(SHARED, SHARED.by("a"));

  private int targets;

  @Test
  void threeGatewaysThatSawOneCrashEachRefuseItTogether() {
    CrashFleet fleet = new CrashFleet(5, new Random(1));
    for (int i = 0; i < 3; i++) {
      crash(fleet, i, DEADLY);
      fleet.run(1_000);
    }
    assertThat(fleet.refusing(DEADLY)).isEqualTo(5);
    assertThat(fleet.refusing(HARMLESS)).isEqualTo(0);
  }

  @Test
  void everyGatewayOfWideFleetRefusesItInTime() {
    CrashFleet fleet = new CrashFleet(95, new Random(2));
    for (int i = 0; i < 3; i++) {
      crash(fleet, 20 + 20 * i, DEADLY);
      fleet.run(i < 2 ? 1_000 : KNOWN_WITHIN_MS);
    }
    assertThat(fleet.refusing(DEADLY)).isEqualTo(95);
  }

  /** The second one dies with the holder and with half of the deputies; nobody has told anybody. */
  @Test
  void nothingIsForgottenWithTheHolderAndItsDeputies() {
    for (long seed = 0; seed < 60; seed++) {
      Random random = new Random(seed);
      CrashFleet fleet = new CrashFleet(3 + random.nextInt(60), random);
      for (int crash = 0; crash < 3; crash++) {
        crash(fleet, fleet.anyLiving(), DEADLY);
        fleet.run(random.nextInt(300));
        if (random.nextBoolean()) {
          fleet.loseHolder();
        }
        if (random.nextBoolean()) {
          fleet.loseDeputy();
        }
        fleet.run(3_500);
      }
      assertThat(fleet.refusing(DEADLY)).isEqualTo(fleet.living());
    }
  }

  /** Copies come in bursts at all gateways; one at a time may show whether it is to blame. */
  @Test
  void trialsOfWatchedRequestsAreGivenOneByOne() {
    CrashFleet fleet = new CrashFleet(20, new Random(8));
    crash(fleet, 1, DEADLY);
    fleet.run(1_000);
    crash(fleet, 2, DEADLY);
    fleet.run(1_000);
    for (int i = 0; i < 30; i++) {
      fleet.wantTrials(CONTENT);
      fleet.run(100);
    }
    assertThat(fleet.permits()).isAtLeast(1);
    assertThat(fleet.permits()).isAtMost(3);
  }

  @Test
  void theNextHolderTellsGatewaysThatHaveJustStarted() {
    CrashFleet fleet = new CrashFleet(20, new Random(3));
    for (int i = 0; i < 3; i++) {
      crash(fleet, i + 10, DEADLY);
      fleet.run(1_000);
    }
    fleet.loseHolder();
    fleet.restart(15);
    fleet.run(KNOWN_WITHIN_MS);
    assertThat(fleet.refusing(DEADLY)).isEqualTo(fleet.living());
  }

  @Test
  void theFleetThatWasLostWholeKnowsIt() {
    CrashFleet fleet = new CrashFleet(20, new Random(6));
    for (int i = 0; i < 3; i++) {
      crash(fleet, i, DEADLY);
      fleet.run(1_000);
    }
    fleet.loseAll();
    fleet.run(KNOWN_WITHIN_MS);
    assertThat(fleet.refusing(DEADLY)).isEqualTo(20);
  }

  /** Many callers ask for it, so it is there whenever a target ends; it is answered in between. */
  @Test
  void whatIsAnsweredMeanwhileIsServedEverywhere() {
    CrashFleet fleet = new CrashFleet(20, new Random(4));
    for (int i = 0; i < 10; i++) {
      crash(fleet, i, HARMLESS);
      fleet.run(40);
      fleet.answer(19 - i, HARMLESS);
      fleet.run(400);
      assertThat(fleet.refusing(HARMLESS)).isEqualTo(0);
    }
  }

  /** The answers came before anybody had heard of the crashes. */
  @Test
  void answersFromBeforeTheNewsCount() {
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
