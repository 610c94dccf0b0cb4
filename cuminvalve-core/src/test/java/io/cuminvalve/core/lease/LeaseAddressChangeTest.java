package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.ServiceId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against two owners of a key when a target has restarted under its name at another address
 * and a target of another service answers at its former one.
 *
 * <p>The record of owners still named the earlier run with its former address. The next term holder
 * did not find the target registered, sent a release to that address, took the answer of the other
 * target as proof that the owner had terminated, and granted its keys to others.
 */
class LeaseAddressChangeTest {

  private static final ServiceId SERVICE = SimulatedFleet.SERVICES.get(0);
  private static final ServiceId OTHER_SERVICE = SimulatedFleet.SERVICES.get(1);
  private static final long STEP_MS = 25;
  private static final long SETTLE_MS = 6_000;

  /** Longer than every lease that an earlier term holder may have granted. */
  private static final long WATCH_MS = 25_000;

  /** The registry lists the target again before the next term holder could wait for its leases. */
  private static final long ENTRY_LOST_MS = 5_000;

  private final VirtualTime time = new VirtualTime(1);
  private final SimulatedFleet fleet = new SimulatedFleet(time, ended -> {}, true);
  private final LeaseInvariants invariants = new LeaseInvariants(SimulatedFleet.SERVICES);
  private final SimulatedNetwork network = new SimulatedNetwork(time, fleet, invariants, true);
  private final SimulatedStore store = new SimulatedStore();
  private final List<SimulatedTermHolder> holders = new ArrayList<>();

  @Test
  void theNextTermHolderKnowsTheNewAddressOfAnOwner() {
    addHolder();
    advance(SETTLE_MS);
    SimulatedTarget moved = moveToAnotherAddress(ownerOfSomeKeys());
    advance(SETTLE_MS);
    replaceHolderWhileUnlisted(List.of(moved));
    assertThat(invariants.violations()).isEmpty();
  }

  @Test
  void theNextTermHolderKnowsTheNewAddressesOfTwoOwners() {
    addHolder();
    advance(SETTLE_MS);
    List<SimulatedTarget> moved = new ArrayList<>();
    for (SimulatedTarget owner : owners().subList(0, 2)) {
      moved.add(moveToAnotherAddress(owner));
    }
    advance(SETTLE_MS);
    replaceHolderWhileUnlisted(moved);
    assertThat(invariants.violations()).isEmpty();
  }

  @Test
  void theNextTermHolderKnowsTheLastOfSeveralAddresses() {
    addHolder();
    advance(SETTLE_MS);
    SimulatedTarget second = moveToAnotherAddress(ownerOfSomeKeys());
    advance(SETTLE_MS);
    SimulatedTarget third = moveToAnotherAddress(second);
    advance(SETTLE_MS);
    replaceHolderWhileUnlisted(List.of(third));
    assertThat(invariants.violations()).isEmpty();
  }

  private void addHolder() {
    SimulatedTermHolder holder =
        new SimulatedTermHolder(holders.size() + 1, time, fleet, network, store, true);
    holder.moveOnlyIfNeeded();
    holders.add(holder);
  }

  /** Replaces the cut-off term holder while the registry lacks the entries of some runs. */
  private void replaceHolderWhileUnlisted(List<SimulatedTarget> unlisted) {
    assertThat(unlisted.stream().allMatch(this::holdsKeys)).isTrue();
    holders.get(holders.size() - 1).loseTerm(true);
    unlisted.forEach(run -> run.loseEntry(0, time.nowMs() + ENTRY_LOST_MS));
    addHolder();
    advance(WATCH_MS);
  }

  /** Restarts a run at a fresh address; a run of the other service takes its former address. */
  private SimulatedTarget moveToAnotherAddress(SimulatedTarget owner) {
    owner.end(time.nowMs());
    SimulatedTarget next = fleet.restartAt(fleet.freshAddress(), owner, 0);
    fleet.replace(owner, OTHER_SERVICE, 0);
    return next;
  }

  private SimulatedTarget ownerOfSomeKeys() {
    return owners().get(0);
  }

  private List<SimulatedTarget> owners() {
    return fleet.running().stream()
        .filter(run -> run.service().equals(SERVICE) && holdsKeys(run))
        .toList();
  }

  private boolean holdsKeys(SimulatedTarget run) {
    for (int sample = 0; sample < SimulatedTarget.SAMPLES; sample++) {
      if (run.holds(sample, time.nowMs())) {
        return true;
      }
    }
    return false;
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
