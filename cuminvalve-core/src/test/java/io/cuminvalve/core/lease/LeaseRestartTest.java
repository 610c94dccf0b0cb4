package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.lease.LeaseInvariants.Violation;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against two runs of a target that hold the same keys under the same token.
 *
 * <p>A target crashed, and another run started at its address a second later while the registry
 * still listed the terminated run. The renewal for that run reached the next one, which knew no
 * token yet and accepted it as a grant; the term holder counted the renewal as done. Orders went to
 * an address without naming their target, so neither side could detect the mistake. Simulations
 * that deliver orders by target id cannot reproduce this.
 *
 * <p>Orders therefore name their target, and each grant carries a new token, which alone protects
 * against a next run under the same name. Without the target's name, a run of another service that
 * takes the address still accepts keys of the wrong service.
 */
class LeaseRestartTest {

  private static final ServiceId SERVICE = SimulatedFleet.SERVICES.get(0);
  private static final ServiceId OTHER_SERVICE = SimulatedFleet.SERVICES.get(1);
  private static final long STEP_MS = 25;

  /** The time within which keys of a lost target have to be served again. */
  private static final long MAX_UNAVAILABLE_MS = 1_000;

  private static final long LISTED_FOR_MS = 6_000;

  /** The name does not distinguish two runs with the same name, but the token does. */
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
    advance(3_000, time, holder, fleet, invariants);
    SimulatedTarget owner = fleet.running().get(0);
    int sample = anyHeldBy(owner, time);
    owner.end(time.nowMs());
    SimulatedTarget next = fleet.restartUnderSameName(owner, 0);
    long waitedMs = 0;
    while (waitedMs < LISTED_FOR_MS && fleet.running().stream().noneMatch(holds(sample, time))) {
      advance(STEP_MS, time, holder, fleet, invariants);
      waitedMs += STEP_MS;
    }
    assertThat(invariants.violations()).isEmpty();
    assertThat(next.isEnded()).isFalse();
    assertThat(waitedMs).isAtMost(MAX_UNAVAILABLE_MS);
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

  /** Replaces an owner by another run at its address without a notice to the term holder. */
  private static LeaseInvariants restart(ServiceId nextService, boolean ordersNameTarget) {
    VirtualTime time = new VirtualTime(1);
    SimulatedFleet fleet = new SimulatedFleet(time, ended -> {});
    LeaseInvariants invariants = new LeaseInvariants(SimulatedFleet.SERVICES);
    SimulatedNetwork network = new SimulatedNetwork(time, fleet, invariants, ordersNameTarget);
    SimulatedTermHolder holder =
        new SimulatedTermHolder(1, time, fleet, network, new SimulatedStore(), true);
    advance(3_000, time, holder, fleet, invariants);
    SimulatedTarget owner =
        fleet.running().stream().filter(run -> run.service().equals(SERVICE)).findFirst().get();
    assertThat(
            IntStream.range(0, SimulatedTarget.SAMPLES).anyMatch(i -> owner.holds(i, time.nowMs())))
        .isTrue();
    SimulatedTarget next = fleet.replace(owner, nextService, LISTED_FOR_MS);
    advance(2 * LISTED_FOR_MS, time, holder, fleet, invariants);
    assertThat(next.isEnded()).isFalse();
    assertThat(network.refusedGrants() > 0).isEqualTo(ordersNameTarget);
    return invariants;
  }

  private static void advance(
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
