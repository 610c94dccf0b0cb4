package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against gateways that together exceed the limit of a target or underuse it. */
class QuotaCoordinatorTest {

  /** Time after which the whole fleet knows a limit. */
  private static final long KNOWN_MS = 3_000;

  private static final int SEEDS = 12;

  /** Varies how evenly callers are distributed over the gateways. */
  @ParameterizedTest
  @CsvSource({"0.4, 8", "2, 8", "2, 30", "2, 95", "20, 8", "20, 30", "120, 8"})
  void limitIsKeptAndUsedForAnyDistributionOfCallers(double perS, int size) {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      QuotaFleet fleet = limitedFleet(perS, size, random);
      long sinceMs = fleet.nowMs();
      int before = fleet.sent(QuotaFleet.URGENT) + fleet.sent(QuotaFleet.DEFERRABLE);
      drive(fleet, 4 * perS, size, random, 40_000, () -> {});
      int sent = fleet.sent(QuotaFleet.URGENT) + fleet.sent(QuotaFleet.DEFERRABLE) - before;
      String where = "seed " + seed;
      assertWithMessage(where).that(fleet.informed()).isEqualTo(size);
      assertWithMessage(where)
          .that((double) fleet.maxRequestsIn4s(sinceMs))
          .isAtMost(allowed(perS));
      assertWithMessage(where).that((double) sent).isAtLeast(0.85 * perS * 40 - 2);
    }
  }

  @ParameterizedTest
  @CsvSource({"0.4, 8", "2, 8", "2, 95", "20, 8", "20, 30"})
  void limitIsKeptWhileHoldersFailAndGatewaysAreCutOff(double perS, int size) {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      QuotaFleet fleet = limitedFleet(perS, size, random);
      long sinceMs = fleet.nowMs();
      drive(fleet, 4 * perS, size, random, 60_000, () -> fleet.injectFault(random));
      assertWithMessage("seed " + seed)
          .that((double) fleet.maxRequestsIn4s(sinceMs))
          .isAtMost(allowed(perS));
    }
  }

  /** At half of the limit 9 of 10 requests are served; one just after others may be refused. */
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
    final int deferrableBefore = fleet.sent(QuotaFleet.DEFERRABLE);
    for (int i = 0; i < 400; i++) {
      fleet.request(random.nextInt(8), i % 4 == 0 ? QuotaFleet.URGENT : QuotaFleet.DEFERRABLE);
      fleet.run(100);
    }
    int urgent = fleet.sent(QuotaFleet.URGENT) - urgentBefore;
    int deferrable = fleet.sent(QuotaFleet.DEFERRABLE) - deferrableBefore;
    assertThat(urgent).isAtLeast(90);
    assertThat(deferrable).isAtLeast(30);
  }

  @Test
  void endOfLimitReachesAllGateways() {
    Random random = new Random(5);
    QuotaFleet fleet = limitedFleet(2, 20, random);
    fleet.announceLimit(null);
    drive(fleet, 4, 20, random, KNOWN_MS, () -> {});
    assertThat(fleet.informed()).isEqualTo(0);
  }

  /** A started gateway learns the limit from others before it sends many requests. */
  @Test
  void startedGatewayLearnsTheLimit() {
    QuotaFleet fleet = limitedFleet(2, 20, new Random(6));
    int other = (fleet.holder() + 7) % 20;
    fleet.restart(other);
    assertThat(fleet.informed()).isEqualTo(19);
    fleet.run(400);
    assertThat(fleet.informed()).isEqualTo(20);
  }

  @Test
  void limitSurvivesLossOfHoldersAndOfTheFirstObserver() {
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
    fleet.announceLimit(Double.toString(perS));
    fleet.request(random.nextInt(size), QuotaFleet.URGENT);
    fleet.run(KNOWN_MS);
    return fleet;
  }

  private static void drive(
      QuotaFleet fleet, double perS, int size, Random random, long forMs, Runnable injectFault) {
    int preferredGateway = random.nextInt(size);
    double preferredShare = random.nextInt(3) / 2.2;
    long untilMs = fleet.nowMs() + forMs;
    long nextFaultMs = fleet.nowMs();
    while (fleet.nowMs() < untilMs) {
      int gateway = random.nextDouble() < preferredShare ? preferredGateway : random.nextInt(size);
      fleet.request(gateway, random.nextInt(3) == 0 ? QuotaFleet.URGENT : QuotaFleet.DEFERRABLE);
      fleet.run(1 + (long) (-Math.log(1 - random.nextDouble()) * 1_000 / perS));
      if (fleet.nowMs() >= nextFaultMs) {
        nextFaultMs = fleet.nowMs() + 2_500 + random.nextInt(6_000);
        injectFault.run();
      }
    }
  }

  /** Returns 1.5 times the number of requests that the limit allows in 4 s, plus 5. */
  private static double allowed(double perS) {
    return 1.5 * 4 * perS + 5;
  }
}
