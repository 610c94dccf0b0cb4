package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs generated schedules of faults one seed after the other, with all combinations of what may
 * come beside crashes, restarts, cuts and lost holders.
 *
 * <p>A longer run: {@code mvn -pl cuminvalve-core -am test -Dtest=LeaseScheduleSweepTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dcuminvalve.leaseSchedules=100000
 * -Dcuminvalve.firstLeaseSeed=1}.
 */
class LeaseScheduleSweepTest {

  private static final long DURATION_MS = 60_000;
  private static final long DEFAULT_SCHEDULES = 48;
  private static final long DEFAULT_FIRST_SEED = 1;

  /** Names used again, older stores, clock faults: each with and without the others. */
  private static final int COMBINATIONS = 8;

  @Test
  void noKeyHasTwoOwnersInAnySchedule() {
    long count = Long.getLong("cuminvalve.leaseSchedules", DEFAULT_SCHEDULES);
    long first = Long.getLong("cuminvalve.firstLeaseSeed", DEFAULT_FIRST_SEED);
    List<String> broken =
        LongStream.range(first, first + count)
            .parallel()
            .mapToObj(LeaseScheduleSweepTest::violationsOf)
            .flatMap(Optional::stream)
            .toList();
    assertWithMessage("schedules that break a promise").that(broken).isEmpty();
  }

  private static Optional<String> violationsOf(long seed) {
    int combination = (int) Math.floorMod(seed, (long) COMBINATIONS);
    LeaseWorld world = new LeaseWorld(seed, true, (combination & 1) != 0);
    if ((combination & 2) != 0) {
      world = world.withOlderStores(true);
    }
    if ((combination & 4) != 0) {
      world = world.withClockFaults();
    }
    world.run(DURATION_MS);
    Map<LeasePromises.Violation, String> violations = world.promises().violations();
    return violations.isEmpty()
        ? Optional.empty()
        : Optional.of("seed " + seed + ": " + violations);
  }
}
