package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against gateways that together exceed the limit of a target, or waste it. */
class QuotaCoordinatorTest {

  /** The whole fleet knows of a limit after this time. */
  private static final long KNOWN_MS = 3_000;

  private static final int SEEDS = 12;

  /** Nearly all callers reach one gateway, or all the same, or some. */
  @ParameterizedTest
  @CsvSource({"0.4, 8", "2, 8", "2, 30", "2, 95", "20, 8", "20, 30", "120, 8"})
  void theLimitIsKeptAndUsedHoweverCallersAreSpread(double perS, int size) {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      QuotaFleet fleet = limitedFleet(perS, size, random);
      long sinceMs = fleet.nowMs();
      int before = fleet.sent(QuotaFleet.URGENT) + fleet.sent(QuotaFleet.LATER);
      drive(fleet, 4 * perS, size, random, 40_000, () -> {});
      int sent = fleet.sent(QuotaFleet.URGENT) + fleet.sent(QuotaFleet.LATER) - before;
      String where = "seed " + seed;
      assertWithMessage(where).that(fleet.informed()).isEqualTo(size);
      assertWithMessage(where).that((double) fleet.mostIn4s(sinceMs)).isAtMost(allowed(perS));
      assertWithMessage(where).that((double) sent).isAtLeast(0.85 * perS * 40 - 2);
    }
  }

  @ParameterizedTest
  @CsvSource({"0.4, 8", "2, 8", "2, 95", "20, 8", "20, 30"})
  void theLimitIsKeptWhileHoldersEndAndGatewaysAreCutOff(double perS, int size) {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      QuotaFleet fleet = limitedFleet(perS, size, random);
      long sinceMs = fleet.nowMs();
      drive(fleet, 4 * perS, size, random, 60_000, () -> disturb(fleet, size, random));
      assertWithMessage("seed " + seed)
          .that((double) fleet.mostIn4s(sinceMs))
          .isAtMost(allowed(perS));
    }
  }

  /** A request may find nothing just after others; 9 of 10 are served at half of the limit. */
  @Test
  void requestsWithinTheLimitAreServed() {
    Random random = new Random(3);
    QuotaFleet fleet = limitedFleet(4, 8, random);
    int before = fleet.sent(QuotaFleet.URGENT);
    for (int i = 0; i < 200; i++) {
      fleet.request(random.nextInt(8), QuotaFleet.URGENT);
      fleet.run(400 + random.nextInt(200));
    }
    assertThat(fleet.sent(QuotaFleet.URGENT) - before).isAtLeast(180);
  }

  @Test
  void urgentRequestsAreServedFirst() {
    Random random = new Random(4);
    QuotaFleet fleet = limitedFleet(4, 8, random);
    final int urgentBefore = fleet.sent(QuotaFleet.URGENT);
    final int laterBefore = fleet.sent(QuotaFleet.LATER);
    for (int i = 0; i < 400; i++) {
      fleet.request(random.nextInt(8), i % 4 == 0 ? QuotaFleet.URGENT : QuotaFleet.LATER);
      fleet.run(100);
    }
    int urgent = fleet.sent(QuotaFleet.URGENT) - urgentBefore;
    int later = fleet.sent(QuotaFleet.LATER) - laterBefore;
    assertThat(urgent).isAtLeast(90);
    assertThat(later).isAtLeast(30);
  }

  @Test
  void endedLimitsAreKnownToAll() {
    Random random = new Random(5);
    QuotaFleet fleet = limitedFleet(2, 20, random);
    fleet.nameLimit(null);
    drive(fleet, 4, 20, random, KNOWN_MS, () -> {});
    assertThat(fleet.informed()).isEqualTo(0);
  }

  /** It has seen nothing of the limit itself, and hears of it before it sends much. */
  @Test
  void startingGatewaysHearOfTheLimit() {
    QuotaFleet fleet = limitedFleet(2, 20, new Random(6));
    int other = (fleet.holder() + 7) % 20;
    fleet.restart(other);
    assertThat(fleet.informed()).isEqualTo(19);
    fleet.run(400);
    assertThat(fleet.informed()).isEqualTo(20);
  }

  @Test
  void theLimitOutlivesTheHolderAndWhoeverSawIt() {
    Random random = new Random(7);
    QuotaFleet fleet = limitedFleet(2, 20, random);
    for (int i = 0; i < 5; i++) {
      fleet.loseHolder();
      fleet.run(KNOWN_MS);
      assertThat(fleet.informed()).isEqualTo(20);
    }
  }

  private static QuotaFleet limitedFleet(double perS, int size, Random random) {
    QuotaFleet fleet = new QuotaFleet(size, random);
    fleet.nameLimit(Double.toString(perS));
    fleet.request(random.nextInt(size), QuotaFleet.URGENT);
    fleet.run(KNOWN_MS);
    return fleet;
  }

  private static void drive(
      QuotaFleet fleet, double perS, int size, Random random, long forMs, Runnable disturb) {
    int favourite = random.nextInt(size);
    double favourShare = random.nextInt(3) / 2.2;
    long untilMs = fleet.nowMs() + forMs;
    long disturbMs = fleet.nowMs();
    while (fleet.nowMs() < untilMs) {
      int gateway = random.nextDouble() < favourShare ? favourite : random.nextInt(size);
      fleet.request(gateway, random.nextInt(3) == 0 ? QuotaFleet.URGENT : QuotaFleet.LATER);
      fleet.run(1 + (long) (-Math.log(1 - random.nextDouble()) * 1_000 / perS));
      if (fleet.nowMs() >= disturbMs) {
        disturbMs = fleet.nowMs() + 2_500 + random.nextInt(6_000);
        disturb.run();
      }
    }
  }

  private static void disturb(QuotaFleet fleet, int size, Random random) {
    int gateway = random.nextInt(size);
    switch (random.nextInt(4)) {
      case 0 -> fleet.loseHolder();
      case 1 -> fleet.restart(gateway);
      case 2 -> fleet.cutOff(gateway, gateway != fleet.holder());
      default -> fleet.cutOff(gateway, false);
    }
  }

  /** One and a half times what the limit allows in 4 s, and 5. */
  private static double allowed(double perS) {
    return 1.5 * 4 * perS + 5;
  }
}
