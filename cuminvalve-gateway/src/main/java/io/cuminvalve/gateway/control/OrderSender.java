package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.LeaseManager;
import io.cuminvalve.core.lease.LeaseOrder;
import io.cuminvalve.core.lease.OrderOutcome;
import io.cuminvalve.core.reach.ReachSignals;
import io.cuminvalve.core.send.ConditionLookup;
import io.cuminvalve.core.send.SendGate;
import io.cuminvalve.core.send.SendKind;
import io.cuminvalve.core.send.SendObstacle;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.lease.LeaseControl;
import io.cuminvalve.ports.lease.OrderReply;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Sends lease orders (grants and releases) to the targets and passes the replies to the lease
 * manager.
 */
final class OrderSender {

  /** Limit per target, so that a target that does not answer cannot block orders to the others. */
  private static final int MAX_PER_TARGET = 6;

  /**
   * Limit for all targets together: a new holder has to grant all ranges at once, on a JVM that is
   * not warmed up yet.
   */
  private static final int MAX_IN_FLIGHT = 60;

  private final LeaseControl leases;
  private final SendGate gate;
  private final HolderState state;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private final Function<TargetId, Optional<String>> addresses;
  private final Consumer<TargetId> onTargetReplaced;
  private final Consumer<TargetId> onLeaving;
  private final ReachSignals reach;
  private final Runnable onAnswered;
  private final Map<TargetId, Integer> inFlight = new HashMap<>();
  private int totalInFlight;
  private volatile boolean closed;

  OrderSender(
      LeaseControl leases,
      HolderState state,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      Function<TargetId, Optional<String>> addresses,
      Consumer<TargetId> onTargetReplaced,
      Consumer<TargetId> onLeaving,
      ReachSignals reach,
      Runnable onAnswered) {
    this.leases = leases;
    this.gate = new SendGate(clock);
    this.state = state;
    this.control = control;
    this.clock = clock;
    this.log = log;
    this.addresses = addresses;
    this.onTargetReplaced = onTargetReplaced;
    this.onLeaving = onLeaving;
    this.reach = reach;
    this.onAnswered = onAnswered;
  }

  void close() {
    closed = true;
  }

  /**
   * Reserves a slot for one order to a target.
   *
   * @return false if the target, or all targets together, already have the maximum number of orders
   *     in flight
   */
  boolean tryReserve(TargetId target) {
    int toTarget = inFlight.getOrDefault(target, 0);
    if (toTarget >= MAX_PER_TARGET || totalInFlight >= MAX_IN_FLIGHT) {
      return false;
    }
    inFlight.put(target, toTarget + 1);
    totalInFlight++;
    return true;
  }

  void send(LeaseManager leaseManager, LeaseOrder order) {
    long sentMs = clock.nowMs();
    reach.onSent(order.target());
    UpperTime decided = clock.upper();
    Optional<String> address = addresses.apply(order.target());
    CompletableFuture<OrderReply> reply =
        address
            .map(known -> dispatch(known, order, () -> maySend(order, decided)))
            .orElseGet(
                () ->
                    CompletableFuture.completedFuture(
                        new OrderReply(OrderOutcome.NOT_SENT, Optional.empty(), false)));
    reply.thenAcceptAsync(answer -> onReply(leaseManager, order, answer, sentMs), control);
  }

  private CompletableFuture<OrderReply> dispatch(
      String address, LeaseOrder order, BooleanSupplier maySend) {
    if (order instanceof LeaseOrder.Grant grant) {
      return leases.grant(address, grant, maySend);
    }
    return leases.release(address, (LeaseOrder.Release) order, maySend);
  }

  /**
   * Checks, on a thread of the lease client right before the first byte, whether the order may be
   * sent.
   */
  private boolean maySend(LeaseOrder order, UpperTime decided) {
    ConditionLookup conditions = new OrderFacts(state, () -> !closed, order.target(), decided);
    SendKind kind = order instanceof LeaseOrder.Grant ? SendKind.GRANT : SendKind.RELEASE;
    Optional<SendObstacle> obstacle = gate.check(kind, conditions);
    obstacle.ifPresent(
        found -> log.write("order_withheld", "target={} why={}", order.target(), found.label()));
    return obstacle.isEmpty();
  }

  /** Tells what the reply shows about the path to the target. */
  private void signalReach(TargetId target, OrderOutcome outcome) {
    reach.onEnded(target);
    switch (outcome) {
      case DONE, STALE, REJECTED, OTHER_TARGET -> reach.onAnswer(target);
      default -> reach.onDoubt(target);
    }
  }

  private void onReply(LeaseManager leaseManager, LeaseOrder order, OrderReply reply, long sentMs) {
    signalReach(order.target(), reply.outcome());
    if (closed) {
      return;
    }
    inFlight.merge(order.target(), -1, Integer::sum);
    totalInFlight--;
    long nowMs = clock.nowMs();
    if (order instanceof LeaseOrder.Grant grant) {
      if (reply.outcome() != OrderOutcome.DONE) {
        logOrder("grant_failed", order, reply, nowMs - sentMs);
      }
      boolean opened = leaseManager.onGrantEnded(grant, reply.outcome(), sentMs, nowMs);
      if (opened) {
        logOrder("keys_granted", order, reply, nowMs - sentMs);
      }
    } else if (order instanceof LeaseOrder.Release release) {
      logOrder("release_ended", order, reply, nowMs - sentMs);
      leaseManager.onReleaseEnded(release, reply.outcome(), reply.handover(), nowMs);
    }
    if (reply.outcome() == OrderOutcome.OTHER_TARGET) {
      onTargetReplaced.accept(order.target());
    } else if (reply.leaving()) {
      onLeaving.accept(order.target());
    }
    onAnswered.run();
  }

  private void logOrder(String event, LeaseOrder order, OrderReply reply, long tookMs) {
    log.write(
        event,
        "service={} target={} keys={} token={} outcome={} handover={} took_ms={}",
        order.service(),
        order.target(),
        order.range(),
        order.token(),
        reply.outcome(),
        reply.handover().isPresent(),
        tookMs);
  }
}
