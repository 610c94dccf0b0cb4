package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.lease.LeaseInvariants.Violation;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * What was seen: two runs of a target had the same keys under the same token.
 *
 * <p>How it came about: a target crashed, and another run started at its address a second later.
 * The registry still listed the ended run. The holder's renewal for that run reached the next one,
 * which knew no token yet and took it for a grant. The holder counted the renewal as done.
 *
 * <p>Cause: orders went to an address and did not say for which run they were. A run could not tell
 * that it was another one, and the holder believed an answer that was not that of its target. The
 * generated schedules missed it: there, orders were delivered by the target's id.
 *
 * <p>Proof: the same schedule with orders that name no target broke the promise, and still breaks
 * the one on keys of another service whose run takes the address; with orders that name it nothing
 * is broken. Since then each grant has a token of its own: where the next run has the same name,
 * that alone keeps the promise.
 */
class LeaseRestartTest {

  private static final ServiceId SERVICE = SimulatedFleet.SERVICES.get(0);
  private static final ServiceId OTHER_SERVICE = SimulatedFleet.SERVICES.get(1);
  private static final long STEP_MS = 25;

  /** Users expect keys of a lost target to be served again within this time. */
  private static final long WITHIN_MS = 1_000;

  private static final long LISTED_FOR_MS = 6_000;

  /** No name tells two runs apart that have the same one; then the token still does. */
  @Test
  void renewalsThatReachTheNextRunHaveTokensAboveThoseOfTheRunBefore() {
    LeaseInvariants invariants = restart(SERVICE, false);
    assertThat(invariants.maxOwnedKeys()).isEqualTo(SimulatedTarget.SAMPLES);
    assertThat(invariants.violations())
        .doesNotContainKey(Violation.TOKEN_NOT_ABOVE_THAT_OF_ANOTHER_RUN);
  }

  @Test
  void targetsThatStartAgainUnderTheirNameGetTheirKeysAgain() {
    VirtualTime time = new VirtualTime(1);
    SimulatedFleet fleet = new SimulatedFleet(time, ended -> {}, true);
    LeaseInvariants invariants = new LeaseInvariants(SimulatedFleet.SERVICES);
    SimulatedNetwork network = new SimulatedNetwork(time, fleet, invariants, true);
    SimulatedTermHolder holder =
        new SimulatedTermHolder(1, time, fleet, network, new SimulatedStore(), true);
    pass(3_000, time, holder, fleet, invariants);
    SimulatedTarget owner = fleet.running().get(0);
    int sample = anyHeldBy(owner, time);
    owner.end(time.nowMs());
    SimulatedTarget next = fleet.restartUnderSameName(owner, 0);
    long waitedMs = 0;
    while (waitedMs < LISTED_FOR_MS && fleet.running().stream().noneMatch(holds(sample, time))) {
      pass(STEP_MS, time, holder, fleet, invariants);
      waitedMs += STEP_MS;
    }
    assertThat(invariants.violations()).isEmpty();
    assertThat(next.isEnded()).isFalse();
    assertThat(waitedMs).isAtMost(WITHIN_MS);
  }

  private static int anyHeldBy(SimulatedTarget owner, VirtualTime time) {
    return IntStream.range(0, SimulatedTarget.SAMPLES)
        .filter(sample -> owner.holds(sample, time.nowMs()))
        .findFirst()
        .orElseThrow();
  }

  private static Predicate<SimulatedTarget> holds(int sample, VirtualTime time) {
    return run -> run.holds(sample, time.nowMs());
  }

  @Test
  void renewalsWithoutNameGiveKeysToAnotherService() {
    assertThat(restart(OTHER_SERVICE, false).violations())
        .containsKey(Violation.KEYS_OF_ANOTHER_SERVICE);
  }

  @Test
  void namedRenewalsAreRefusedByTheNextRun() {
    assertThat(restart(SERVICE, true).violations()).isEmpty();
  }

  @Test
  void namedRenewalsAreRefusedByAnotherService() {
    assertThat(restart(OTHER_SERVICE, true).violations()).isEmpty();
  }

  /** An owner ends, another run has its address at once; the holder learns it from nobody. */
  private static LeaseInvariants restart(ServiceId nextService, boolean ordersNameTarget) {
    VirtualTime time = new VirtualTime(1);
    SimulatedFleet fleet = new SimulatedFleet(time, ended -> {});
    LeaseInvariants invariants = new LeaseInvariants(SimulatedFleet.SERVICES);
    SimulatedNetwork network = new SimulatedNetwork(time, fleet, invariants, ordersNameTarget);
    SimulatedTermHolder holder =
        new SimulatedTermHolder(1, time, fleet, network, new SimulatedStore(), true);
    pass(3_000, time, holder, fleet, invariants);
    SimulatedTarget owner =
        fleet.running().stream().filter(run -> run.service().equals(SERVICE)).findFirst().get();
    assertThat(
            IntStream.range(0, SimulatedTarget.SAMPLES).anyMatch(i -> owner.holds(i, time.nowMs())))
        .isTrue();
    SimulatedTarget next = fleet.replace(owner, nextService, LISTED_FOR_MS);
    pass(2 * LISTED_FOR_MS, time, holder, fleet, invariants);
    assertThat(next.isEnded()).isFalse();
    assertThat(network.refusedGrants() > 0).isEqualTo(ordersNameTarget);
    return invariants;
  }

  private static void pass(
      long durationMs,
      VirtualTime time,
      SimulatedTermHolder holder,
      SimulatedFleet fleet,
      LeaseInvariants invariants) {
    long endMs = time.nowMs() + durationMs;
    while (time.nowMs() < endMs) {
      time.advance(STEP_MS);
      holder.step();
      invariants.check(fleet.running(), time.nowMs());
    }
  }
}
