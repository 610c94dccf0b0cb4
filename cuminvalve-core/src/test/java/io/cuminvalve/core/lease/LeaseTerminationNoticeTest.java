package io.cuminvalve.core.lease;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Notices that an owner has terminated arrive repeatedly, late and out of order, while the next run
 * under the owner's name answers at its address.
 */
class LeaseTerminationNoticeTest {

  private static final ServiceId SERVICE = SimulatedFleet.SERVICES.get(0);
  private static final String ADDRESS = "10.0.0.1";
  private static final TargetId OWNER = TargetId.ofRun("a", 1);
  private static final TargetId OTHER = new TargetId("b");
  private static final LeaseTimings TIMINGS = SimulatedTermHolder.TIMINGS;

  private final LeaseInvariants invariants = new LeaseInvariants(SimulatedFleet.SERVICES);
  private final SimulatedTarget owner = new SimulatedTarget(OWNER, SERVICE, ADDRESS, 1, 0);
  private final SimulatedTarget other = new SimulatedTarget(OTHER, SERVICE, "10.0.0.2", 1, 0);
  private final SimulatedTarget next =
      new SimulatedTarget(TargetId.ofRun("a", 2), SERVICE, ADDRESS, 1, 2_000);
  private long tokens;
  private final LeaseManager manager = new LeaseManager(SERVICE, TIMINGS, () -> ++tokens);

  /** The owner holds all keys, then terminates; the next run under its name takes its place. */
  @BeforeEach
  void grantAllToTheOwner() {
    manager.partition(List.of(listed(owner)));
    manager.onWritten(manager.version());
    answer(grantDue(0), owner, 0);
    assertThat(owner.holds(0, 0)).isTrue();
    owner.end(0);
  }

  @Test
  void grantsInFlightCountDespiteRepeatedNotices() {
    LeaseOrder.Grant renewal = grantDue(1_000);
    manager.onGone(OWNER);
    answer(renewal, next, 1_010);
    manager.onGone(OWNER);
    moveAllToTheOther(1_020);
  }

  @Test
  void grantsSentAfterTheNoticeCountDespiteRepeatedNotices() {
    manager.onGone(OWNER);
    answer(grantDue(1_000), next, 1_010);
    manager.onGone(OWNER);
    moveAllToTheOther(1_020);
  }

  /** The answer to the grant is lost. */
  @Test
  void unansweredGrantsCountDespiteRepeatedNotices() {
    LeaseOrder.Grant renewal = grantDue(1_000);
    manager.onGone(OWNER);
    carryOut(renewal, next, 1_010);
    manager.onGrantEnded(renewal, OrderOutcome.UNANSWERED, 1_000, 1_700);
    manager.onGone(OWNER);
    moveAllToTheOther(1_720);
  }

  /**
   * The next run accepts the first of two grants; the second, in flight at the move, is not sent.
   */
  @Test
  void earlierGrantsCountIfTheGrantInFlightAtTheMoveIsNotSent() {
    LeaseOrder.Grant missed = grantDue(1_000);
    manager.onGrantEnded(missed, OrderOutcome.NOT_SENT, 1_000, 1_010);
    answer(grantDue(1_300), next, 1_310);
    LeaseOrder.Grant renewal = grantDue(2_400);
    manager.move(KeyRange.ALL, OTHER, 2_410);
    manager.onWritten(manager.version());
    manager.onGone(OWNER);
    manager.onGrantEnded(renewal, OrderOutcome.NOT_SENT, 2_400, 2_420);
    checkKeysAt(2_420);
  }

  /** The notice arrives after the outcome of the second grant. */
  @Test
  void earlierGrantsCountIfTheNoticeFollowsTheAnswer() {
    LeaseOrder.Grant missed = grantDue(1_000);
    manager.onGrantEnded(missed, OrderOutcome.NOT_SENT, 1_000, 1_010);
    answer(grantDue(1_300), next, 1_310);
    LeaseOrder.Grant renewal = grantDue(2_400);
    manager.move(KeyRange.ALL, OTHER, 2_410);
    manager.onWritten(manager.version());
    manager.onGrantEnded(renewal, OrderOutcome.NOT_SENT, 2_400, 2_420);
    manager.onGone(OWNER);
    manager.onGone(OWNER);
    checkKeysAt(2_430);
  }

  /**
   * Guards against two owners of a key after a single late notice that its owner has terminated.
   *
   * <p>A run with another name used the owner's address for 200 ms, between two orders, so no order
   * found the owner absent. The next run under the owner's name accepted the renewals, and the
   * notice wrongly voided these too.
   */
  @Test
  void lateNoticeKeepsGrantsThatTheNextRunAccepted() {
    LeaseSimulation simulation = new LeaseSimulation(1289, true, true).withRepeatedNotices();
    simulation.run(60_000);
    assertThat(simulation.invariants().violations()).isEmpty();
  }

  private void moveAllToTheOther(long nowMs) {
    manager.move(KeyRange.ALL, OTHER, nowMs);
    manager.onWritten(manager.version());
    checkKeysAt(nowMs);
  }

  /** Checks that the other target gets the keys exactly when the next run holds them no longer. */
  private void checkKeysAt(long fromMs) {
    assertThat(next.holds(0, fromMs)).isTrue();
    long endMs = fromMs + TIMINGS.boundMs(TIMINGS.leaseMs());
    for (long nowMs = fromMs; nowMs <= endMs; nowMs += 25) {
      for (LeaseOrder order : manager.due(nowMs, target -> true)) {
        if (order instanceof LeaseOrder.Release release) {
          manager.onReleaseEnded(release, OrderOutcome.NOT_SENT, Optional.empty(), nowMs);
        } else {
          answer((LeaseOrder.Grant) order, other, nowMs);
        }
      }
      invariants.check(List.of(other, next), nowMs);
    }
    assertWithMessage("violations").that(invariants.violations()).isEmpty();
    assertThat(other.holds(0, endMs)).isTrue();
  }

  private LeaseOrder.Grant grantDue(long nowMs) {
    return (LeaseOrder.Grant) manager.due(nowMs, target -> true).get(0);
  }

  private void answer(LeaseOrder.Grant grant, SimulatedTarget run, long nowMs) {
    carryOut(grant, run, nowMs);
    manager.onGrantEnded(grant, OrderOutcome.DONE, nowMs, nowMs);
  }

  private void carryOut(LeaseOrder.Grant grant, SimulatedTarget run, long nowMs) {
    assertThat(run.carryOut(grant, true, nowMs)).isEqualTo(OrderOutcome.DONE);
    invariants.onGranted(run, grant, nowMs);
  }

  private static FleetTarget listed(SimulatedTarget run) {
    return new FleetTarget(
        run.id(), SERVICE, run.address(), new DataCentreId("zone"), 4, TargetPhase.READY, 0);
  }
}
