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
 * Runs generated schedules of faults one seed after the other, with all combinations of what may
 * come beside crashes, restarts, cuts and lost holders.
 *
 * <p>A longer run: {@code mvn -pl cuminvalve-core -am test -Dtest=LeaseScheduleSweepTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dcuminvalve.leaseSchedules=100000
 * -Dcuminvalve.firstLeaseSeed=1}. It takes one thread, or as many as {@code
 * -Dcuminvalve.leaseThreads} says; each seed gives the same schedule either way. One of the two
 * sweeps alone: {@code -Dtest=LeaseScheduleSweepTest#noKeyHasTwoOwnersInAnySchedule}.
 */
class LeaseScheduleSweepTest {

  private static final long DURATION_MS = 60_000;
  private static final long DEFAULT_SCHEDULES = 48;
  private static final long DEFAULT_FIRST_SEED = 1;
  private static final int DEFAULT_THREADS = 1;

  /** Names used again, older stores, clock faults: each with and without the others. */
  private static final int COMBINATIONS = 8;

  @Test
  void noKeyHasTwoOwnersInAnySchedule() throws ExecutionException, InterruptedException {
    sweep(seed -> violationsIn(simulationFor(seed), seed));
  }

  /** The same seeds; the news of each end is told again, and so the schedules are others. */
  @Test
  void noKeyHasTwoOwnersThoughNewsIsToldAgain() throws ExecutionException, InterruptedException {
    sweep(seed -> violationsIn(simulationFor(seed).withRepeatedNotices(), seed));
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
      assertWithMessage("schedules that break a promise").that(broken).isEmpty();
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
