package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertThat;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.lease.LeasePromises.Violation;
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
 * <p>Proof: the same schedule with orders that name no target breaks the promise, also towards the
 * keys of another service whose run takes the address; with orders that name it nothing is broken.
 */
class LeaseRestartTest {

  private static final ServiceId SERVICE = LeaseFleet.SERVICES.get(0);
  private static final ServiceId OTHER_SERVICE = LeaseFleet.SERVICES.get(1);
  private static final long STEP_MS = 25;
  private static final long LISTED_FOR_MS = 6_000;

  @Test
  void renewalsWithoutNameReachTheNextRunUnderTheSameToken() {
    assertThat(restart(SERVICE, false).violations())
        .containsKey(Violation.TOKEN_NOT_ABOVE_THAT_OF_ANOTHER_RUN);
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
  private static LeasePromises restart(ServiceId nextService, boolean targetsAreNamed) {
    VirtualTime time = new VirtualTime(1);
    LeaseFleet fleet = new LeaseFleet(time, ended -> {});
    LeasePromises promises = new LeasePromises(LeaseFleet.SERVICES);
    LeaseNetwork network = new LeaseNetwork(time, fleet, promises, targetsAreNamed);
    LeaseHolder holder = new LeaseHolder(1, time, fleet, network, new LeaseStore());
    pass(3_000, time, holder, fleet, promises);
    LeaseTarget owner =
        fleet.living().stream().filter(run -> run.service().equals(SERVICE)).findFirst().get();
    assertThat(IntStream.range(0, LeaseTarget.SAMPLES).anyMatch(i -> owner.holds(i, time.nowMs())))
        .isTrue();
    LeaseTarget next = fleet.replace(owner, nextService, LISTED_FOR_MS);
    pass(2 * LISTED_FOR_MS, time, holder, fleet, promises);
    assertThat(next.isEnded()).isFalse();
    assertThat(network.refusedGrants() > 0).isEqualTo(targetsAreNamed);
    return promises;
  }

  private static void pass(
      long durationMs,
      VirtualTime time,
      LeaseHolder holder,
      LeaseFleet fleet,
      LeasePromises promises) {
    long endMs = time.nowMs() + durationMs;
    while (time.nowMs() < endMs) {
      time.pass(STEP_MS);
      holder.step();
      promises.check(fleet.living(), time.nowMs());
    }
  }
}
