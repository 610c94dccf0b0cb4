package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ForkJoinPool;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs fault schedules for consecutive seeds, in all combinations of the optional faults. Crashes,
 * restarts, partitions and lost term holders occur in every schedule.
 *
 * <p>For a longer run: {@code mvn -pl cuminvalve-core -am test -Dtest=LeaseScheduleSweepTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dcuminvalve.leaseSchedules=100000
 * -Dcuminvalve.firstLeaseSeed=1}. It uses one thread, or the number in {@code
 * -Dcuminvalve.leaseThreads}; a seed always gives the same schedule. To run only one of the sweeps:
 * {@code -Dtest=LeaseScheduleSweepTest#noKeyHasTwoOwnersInAnySchedule}.
 */
class LeaseScheduleSweepTest {

  private static final long DURATION_MS = 60_000;
  private static final long DEFAULT_SCHEDULES = 48;
  private static final long DEFAULT_FIRST_SEED = 1;
  private static final int DEFAULT_THREADS = 1;

  /** Reused names, store rollbacks and clock faults, each with and without the others. */
  private static final int COMBINATIONS = 8;

  @Test
  void noKeyHasTwoOwnersInAnySchedule() throws ExecutionException, InterruptedException {
    sweep(seed -> violationsIn(simulationFor(seed), seed));
  }

  /** Uses the same seeds; the repeated termination notices make the schedules differ. */
  @Test
  void noKeyHasTwoOwnersWithRepeatedNotices() throws ExecutionException, InterruptedException {
    sweep(seed -> violationsIn(simulationFor(seed).withRepeatedNotices(), seed));
  }

  /** Maps each seed to an odd one: only these reuse names, here often at other addresses. */
  @Test
  void noKeyHasTwoOwnersWithAddressChanges() throws ExecutionException, InterruptedException {
    sweep(seed -> violationsIn(simulationFor(2 * seed + 1).withAddressChanges(), seed));
  }

  private static void sweep(LongFunction<Optional<String>> violationsOf)
      throws ExecutionException, InterruptedException {
    long count = Long.getLong("cuminvalve.leaseSchedules", DEFAULT_SCHEDULES);
    long first = Long.getLong("cuminvalve.firstLeaseSeed", DEFAULT_FIRST_SEED);
    int threads = Integer.getInteger("cuminvalve.leaseThreads", DEFAULT_THREADS);
    ForkJoinPool pool = new ForkJoinPool(threads);
    try {
      List<String> broken =
          pool.submit(
                  () ->
                      LongStream.range(first, first + count)
                          .parallel()
                          .mapToObj(violationsOf)
                          .flatMap(Optional::stream)
                          .toList())
              .get();
      assertWithMessage("schedules that violate an invariant").that(broken).isEmpty();
    } finally {
      pool.shutdown();
    }
  }

  private static LeaseSimulation simulationFor(long seed) {
    int combination = (int) Math.floorMod(seed, (long) COMBINATIONS);
    LeaseSimulation simulation = new LeaseSimulation(seed, true, (combination & 1) != 0);
    if ((combination & 2) != 0) {
      simulation = simulation.withStoreRollbacks(true);
    }
    if ((combination & 4) != 0) {
      simulation = simulation.withClockFaults();
    }
    return simulation;
  }

  private static Optional<String> violationsIn(LeaseSimulation simulation, long seed) {
    simulation.run(DURATION_MS);
    Map<LeaseInvariants.Violation, String> violations = simulation.invariants().violations();
    return violations.isEmpty()
        ? Optional.empty()
        : Optional.of("seed " + seed + ": " + violations);
  }
}
