package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.LeaseDesk;
import io.cuminvalve.core.lease.LeaseOrder;
import io.cuminvalve.core.lease.OrderOutcome;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.ports.lease.LeaseControl;
import io.cuminvalve.ports.lease.OrderReply;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** Sends the orders of a desk to the targets and brings the answers back. */
final class OrderSender {

  private final LeaseControl leases;
  private final ControlThread control;
  private final MillisClock clock;
  private final DecisionLog log;
  private final Function<TargetId, Optional<String>> addresses;
  private final Runnable onAnswered;
  private boolean closed;

  OrderSender(
      LeaseControl leases,
      ControlThread control,
      MillisClock clock,
      DecisionLog log,
      Function<TargetId, Optional<String>> addresses,
      Runnable onAnswered) {
    this.leases = leases;
    this.control = control;
    this.clock = clock;
    this.log = log;
    this.addresses = addresses;
    this.onAnswered = onAnswered;
  }

  void close() {
    closed = true;
  }

  void send(LeaseDesk desk, LeaseOrder order) {
    long sentMs = clock.nowMs();
    Optional<String> address = addresses.apply(order.target());
    CompletableFuture<OrderReply> reply =
        address
            .map(known -> call(known, order))
            .orElseGet(
                () ->
                    CompletableFuture.completedFuture(
                        new OrderReply(OrderOutcome.NOT_SENT, Optional.empty())));
    reply.thenAcceptAsync(answer -> onReply(desk, order, answer, sentMs), control);
  }

  private CompletableFuture<OrderReply> call(String address, LeaseOrder order) {
    if (order instanceof LeaseOrder.Grant grant) {
      return leases.grant(address, grant);
    }
    return leases.release(address, (LeaseOrder.Release) order);
  }

  private void onReply(LeaseDesk desk, LeaseOrder order, OrderReply reply, long sentMs) {
    if (closed) {
      return;
    }
    long nowMs = clock.nowMs();
    if (order instanceof LeaseOrder.Grant grant) {
      if (reply.outcome() != OrderOutcome.DONE) {
        logOrder("grant_failed", order, reply, nowMs - sentMs);
      }
      desk.onGrantEnded(grant, reply.outcome(), sentMs, nowMs);
    } else if (order instanceof LeaseOrder.Release release) {
      logOrder("release_ended", order, reply, nowMs - sentMs);
      desk.onReleaseEnded(release, reply.outcome(), reply.handover(), nowMs);
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
