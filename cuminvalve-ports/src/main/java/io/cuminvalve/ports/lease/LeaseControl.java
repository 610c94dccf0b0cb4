package io.cuminvalve.ports.lease;

import io.cuminvalve.core.lease.LeaseOrder;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Port to the targets, to grant and release leases of key ranges.
 *
 * <p>Every future completes normally, within a bounded time. An order names its target: another
 * target that now has the address must reject it and report that. Otherwise the next incarnation at
 * the address would accept a renewal meant for the previous one as a grant, under a token that the
 * previous one held.
 *
 * @since 0.2
 */
public interface LeaseControl {

  /**
   * Grants or renews a lease.
   *
   * @param address IP address and port of the target; not null
   * @param order what to grant; not null
   * @param mayBegin checked immediately before the first byte is sent, on any thread: if false,
   *     nothing is sent; not null
   * @return never null
   */
  CompletableFuture<OrderReply> grant(
      String address, LeaseOrder.Grant order, BooleanSupplier mayBegin);

  /**
   * Ends a lease. The target responds once the work on its keys has ended.
   *
   * @param address IP address and port of the target; not null
   * @param order what to release; not null
   * @param mayBegin as for {@link #grant}; not null
   * @return never null
   */
  CompletableFuture<OrderReply> release(
      String address, LeaseOrder.Release order, BooleanSupplier mayBegin);
}
