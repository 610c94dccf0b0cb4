package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Suspends the host of a term holder for longer than any lease. Meanwhile the next term holder
 * takes over; it cannot reach one of the targets and reassigns that target's keys once its leases
 * have expired.
 */
class HiddenSuspensionTest {

  private static final long STEP_MS = 25;
  private static final long SETTLE_MS = 3_000;
  private static final long SUSPENDED_MS = 25_000;
  private static final long AFTERWARDS_MS = 5_000;

  /** The renewal interval: the suspension begins at a random time within it. */
  private static final long RENEWED_EVERY_MS = 1_000;

  private static final long SEEDS = 50;

  @Test
  void suspensionsThatShowStopTheHolder() {
    assertNoTwoOwners(0);
  }

  /**
   * Guards against two owners after a suspension during which the wall clock is set back by the
   * same amount: the wall clock does not show the suspension then, and a term holder that does not
   * notice it renews expired leases.
   */
  @Test
  void suspensionsThatStepsBackHideStopTheHolder() {
    assertNoTwoOwners(-SUSPENDED_MS);
  }

  private static void assertNoTwoOwners(long stepMs) {
    List<String> broken = new ArrayList<>();
    for (long seed = 0; seed < SEEDS; seed++) {
      broken.addAll(new Suspension(seed, stepMs).violations());
    }
    assertWithMessage("violations in %s schedules", SEEDS).that(broken).isEmpty();
  }

  /** A schedule with a term holder whose host is suspended, and its successor. */
  private static final class Suspension {

    private final VirtualTime time;
    private final SimulatedFleet fleet;
    private final LeaseInvariants invariants = new LeaseInvariants(SimulatedFleet.SERVICES);
    private final SimulatedNetwork network;
    private final SimulatedStore store = new SimulatedStore();
    private final List<SimulatedTermHolder> holders = new ArrayList<>();

    Suspension(long seed, long stepMs) {
      time = new VirtualTime(seed);
      fleet = new SimulatedFleet(time, ended -> {});
      network = new SimulatedNetwork(time, fleet, invariants, true);
      final SimulatedTermHolder first = addHolder();
      advance(SETTLE_MS + time.nextMs(0, RENEWED_EVERY_MS));
      final SimulatedTarget owner = fleet.running().get(0);
      // Its clocks are not read while the host is suspended.
      first.loseTerm(false);
      first.clock().suspend(SUSPENDED_MS);
      first.clock().stepWallClock(stepMs);
      SimulatedTermHolder next = addHolder();
      next.blockPathTo(owner, time.nowMs() + SUSPENDED_MS + AFTERWARDS_MS);
      next.moveFrom(owner);
      advance(SUSPENDED_MS + AFTERWARDS_MS);
    }

    Collection<String> violations() {
      return invariants.violations().values();
    }

    private SimulatedTermHolder addHolder() {
      SimulatedTermHolder holder =
          new SimulatedTermHolder(holders.size() + 1, time, fleet, network, store, true);
      holders.add(holder);
      return holder;
    }

    private void advance(long durationMs) {
      long endMs = time.nowMs() + durationMs;
      while (time.nowMs() < endMs) {
        time.advance(STEP_MS);
        holders.forEach(SimulatedTermHolder::step);
        invariants.check(fleet.running(), time.nowMs());
      }
    }
  }
}
