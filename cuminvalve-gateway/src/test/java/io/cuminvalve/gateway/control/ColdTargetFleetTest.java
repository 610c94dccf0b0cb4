package io.cuminvalve.gateway.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.core.quota.ColdBound;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against gateways that together flood a cold target, which then crashes.
 *
 * <p>Each gateway alone sends few requests. Their sum in any second counts, also while holders are
 * lost and gateways are cut off from them.
 */
class ColdTargetFleetTest {

  private static final double COLD_PER_S = 4;
  private static final ColdBound BOUND = new ColdBound(1.5, 8);
  private static final double MOST_IN_ONE_SECOND = 14;
  private static final long COLD_MS = 20_000;
  private static final int SEEDS = 30;

  @ParameterizedTest
  @CsvSource({"8", "30", "58", "95", "300"})
  void noSecondExceedsTheBoundWhileAllGatewaysAsk(int size) {
    for (int seed = 0; seed < SEEDS; seed++) {
      QuotaFleet fleet = new QuotaFleet(size, new Random(seed));
      long sinceMs = fleet.nowMs();
      fleet.becomeCold(BOUND.issuedPerS(COLD_PER_S), COLD_MS);
      drive(fleet, size, new Random(seed), COLD_MS, () -> {});
      assertWithMessage("seed " + seed)
          .that((double) fleet.maxRequestsIn(1_000, sinceMs))
          .isAtMost(MOST_IN_ONE_SECOND);
    }
  }

  @ParameterizedTest
  @CsvSource({"8", "30", "58", "95", "300"})
  void noSecondExceedsTheBoundWhileHoldersFailAndGatewaysAreCutOff(int size) {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      QuotaFleet fleet = new QuotaFleet(size, random);
      long sinceMs = fleet.nowMs();
      fleet.becomeCold(BOUND.issuedPerS(COLD_PER_S), COLD_MS);
      drive(fleet, size, random, COLD_MS, () -> fleet.injectFault(random));
      assertWithMessage("seed " + seed)
          .that((double) fleet.maxRequestsIn(1_000, sinceMs))
          .isAtMost(MOST_IN_ONE_SECOND);
    }
  }

  /** Requests at the rate that the target can take are served while it is cold. */
  @Test
  void coldTargetIsUsed() {
    QuotaFleet fleet = new QuotaFleet(58, new Random(1));
    fleet.becomeCold(BOUND.issuedPerS(COLD_PER_S), COLD_MS);
    drive(fleet, 58, new Random(1), COLD_MS, () -> {});
    int sent = fleet.sent(QuotaFleet.URGENT) + fleet.sent(QuotaFleet.DEFERRABLE);
    assertThat(sent).isAtLeast((int) (0.9 * COLD_PER_S * COLD_MS / 1_000));
  }

  @Test
  void theLimitEndsByItself() {
    QuotaFleet fleet = new QuotaFleet(20, new Random(2));
    fleet.becomeCold(BOUND.issuedPerS(COLD_PER_S), 3_000);
    assertThat(fleet.informed()).isEqualTo(20);
    fleet.run(3_001);
    assertThat(fleet.informed()).isEqualTo(0);
    int before = fleet.sent(QuotaFleet.URGENT);
    for (int i = 0; i < 100; i++) {
      fleet.request(i % 20, QuotaFleet.URGENT);
    }
    assertThat(fleet.sent(QuotaFleet.URGENT) - before).isEqualTo(100);
  }

  private static void drive(
      QuotaFleet fleet, int size, Random random, long forMs, Runnable injectFault) {
    long untilMs = fleet.nowMs() + forMs - 1;
    long nextFaultMs = fleet.nowMs();
    while (fleet.nowMs() < untilMs) {
      int priority = random.nextInt(3) == 0 ? QuotaFleet.URGENT : QuotaFleet.DEFERRABLE;
      fleet.request(random.nextInt(size), priority);
      fleet.run(Math.min(untilMs - fleet.nowMs(), 1 + random.nextInt(50)));
      if (fleet.nowMs() >= nextFaultMs) {
        nextFaultMs = fleet.nowMs() + 1_500 + random.nextInt(4_000);
        injectFault.run();
      }
    }
  }
}
