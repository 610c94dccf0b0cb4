package io.cuminvalve.core.lease;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Carries orders to addresses: to the run that is there when they are sent, whichever that is.
 *
 * <p>Orders are delayed, lost, refused, or carried out seconds later without an answer. Those on a
 * connection to a run that ends are lost with it: they never reach the next one.
 */
final class SimulatedNetwork {

  private static final long TIMEOUT_MS = 700;

  private final VirtualTime time;
  private final SimulatedFleet fleet;
  private final LeaseInvariants promises;
  private final boolean targetsAreNamed;
  private int refusedGrants;
  private int refusedReleases;

  /** Creates the network; orders name their target, and runs look at it, or they do not. */
  SimulatedNetwork(
      VirtualTime time, SimulatedFleet fleet, LeaseInvariants promises, boolean targetsAreNamed) {
    this.time = time;
    this.fleet = fleet;
    this.promises = promises;
    this.targetsAreNamed = targetsAreNamed;
  }

  /** Returns how many grants a run refused because they name another one. */
  int refusedGrants() {
    return refusedGrants;
  }

  /** Returns how many releases a run refused because they name another one. */
  int refusedReleases() {
    return refusedReleases;
  }

  void send(LeaseOrder order, String address, Consumer<OrderOutcome> onEnded) {
    long wayMs = time.between(1, 60);
    int luck = time.draw(100);
    Optional<SimulatedTarget> reached = fleet.runAt(address);
    if (luck < 5 || reached.isEmpty()) {
      time.later(wayMs, () -> onEnded.accept(OrderOutcome.NOT_SENT));
      return;
    }
    SimulatedTarget run = reached.get();
    boolean answerLost = fleet.losesAnswers(address) && time.draw(4) > 0;
    if (luck < 10) {
      loseAnswer(onEnded);
    } else if (luck < 20) {
      long arrivedMs = time.nowMs() + wayMs;
      time.later(time.between(2_000, 12_000), () -> carryOut(order, run, arrivedMs));
      loseAnswer(onEnded);
    } else if (answerLost) {
      time.later(wayMs, () -> carryOut(order, run, time.nowMs()));
      loseAnswer(onEnded);
    } else {
      time.later(wayMs, () -> deliver(order, run, onEnded));
    }
  }

  private void loseAnswer(Consumer<OrderOutcome> onEnded) {
    time.later(TIMEOUT_MS, () -> onEnded.accept(OrderOutcome.UNANSWERED));
  }

  private void deliver(LeaseOrder order, SimulatedTarget run, Consumer<OrderOutcome> onEnded) {
    OrderOutcome outcome = carryOut(order, run, time.nowMs());
    time.later(time.between(1, 60), () -> onEnded.accept(outcome));
  }

  private OrderOutcome carryOut(LeaseOrder order, SimulatedTarget run, long arrivedMs) {
    if (run.isEnded()) {
      return OrderOutcome.UNANSWERED;
    }
    if (targetsAreNamed && !run.isMeant(order.target())) {
      refusedGrants += order instanceof LeaseOrder.Grant ? 1 : 0;
      refusedReleases += order instanceof LeaseOrder.Release ? 1 : 0;
    }
    OrderOutcome outcome = run.carryOut(order, targetsAreNamed, arrivedMs);
    if (outcome == OrderOutcome.DONE && order instanceof LeaseOrder.Grant grant) {
      promises.onGranted(run, grant, time.nowMs());
    }
    return outcome;
  }
}
