package io.cuminvalve.core.lease;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Delivers orders to whichever run is at an address when they are sent.
 *
 * <p>Orders are delayed, lost, refused, or carried out seconds later without an answer. An order on
 * a connection to a run that terminates is lost with it and never reaches the next run.
 */
final class SimulatedNetwork {

  private static final long TIMEOUT_MS = 700;

  private final VirtualTime time;
  private final SimulatedFleet fleet;
  private final LeaseInvariants invariants;
  private final boolean ordersNameTarget;
  private int refusedGrants;
  private int refusedReleases;

  /** Creates the network; runs check the target named in an order if {@code ordersNameTarget}. */
  SimulatedNetwork(
      VirtualTime time,
      SimulatedFleet fleet,
      LeaseInvariants invariants,
      boolean ordersNameTarget) {
    this.time = time;
    this.fleet = fleet;
    this.invariants = invariants;
    this.ordersNameTarget = ordersNameTarget;
  }

  /** Returns the number of grants that runs refused because they name another target. */
  int refusedGrants() {
    return refusedGrants;
  }

  /** Returns the number of releases that runs refused because they name another target. */
  int refusedReleases() {
    return refusedReleases;
  }

  void send(LeaseOrder order, String address, Consumer<OrderOutcome> onEnded) {
    long latencyMs = time.nextMs(1, 60);
    int choice = time.nextInt(100);
    Optional<SimulatedTarget> reached = fleet.runAt(address);
    if (choice < 5 || reached.isEmpty()) {
      time.schedule(latencyMs, () -> onEnded.accept(OrderOutcome.NOT_SENT));
      return;
    }
    SimulatedTarget run = reached.get();
    boolean answerLost = fleet.losesAnswers(address) && time.nextInt(4) > 0;
    if (choice < 10) {
      loseAnswer(onEnded);
    } else if (choice < 20) {
      long arrivedMs = time.nowMs() + latencyMs;
      time.schedule(time.nextMs(2_000, 12_000), () -> carryOut(order, run, arrivedMs));
      loseAnswer(onEnded);
    } else if (answerLost) {
      time.schedule(latencyMs, () -> carryOut(order, run, time.nowMs()));
      loseAnswer(onEnded);
    } else {
      time.schedule(latencyMs, () -> deliver(order, run, onEnded));
    }
  }

  private void loseAnswer(Consumer<OrderOutcome> onEnded) {
    time.schedule(TIMEOUT_MS, () -> onEnded.accept(OrderOutcome.UNANSWERED));
  }

  private void deliver(LeaseOrder order, SimulatedTarget run, Consumer<OrderOutcome> onEnded) {
    OrderOutcome outcome = carryOut(order, run, time.nowMs());
    time.schedule(time.nextMs(1, 60), () -> onEnded.accept(outcome));
  }

  private OrderOutcome carryOut(LeaseOrder order, SimulatedTarget run, long arrivedMs) {
    if (run.isEnded()) {
      return OrderOutcome.UNANSWERED;
    }
    if (ordersNameTarget && !run.isAddressee(order.target())) {
      refusedGrants += order instanceof LeaseOrder.Grant ? 1 : 0;
      refusedReleases += order instanceof LeaseOrder.Release ? 1 : 0;
    }
    OrderOutcome outcome = run.carryOut(order, ordersNameTarget, arrivedMs);
    if (outcome == OrderOutcome.DONE && order instanceof LeaseOrder.Grant grant) {
      invariants.onGranted(run, grant, time.nowMs());
    }
    return outcome;
  }
}
