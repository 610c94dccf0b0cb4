package io.cuminvalve.ports.lease;

import io.cuminvalve.core.lease.LeaseOrder;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Port to the targets, to grant and release leases of key ranges.
 *
 * <p>Every future completes normally, within a bounded time. An order names its target: another one
 * that has its address by now must not carry it out, and says so. Without that, the next run at the
 * address would take a renewal of the run before for a grant of its own, under a token that the run
 * before had.
 *
 * @since 0.2
 */
public interface LeaseControl {

  /**
   * Grants or renews a lease.
   *
   * @param address IP address and port of the target; not null
   * @param order what to grant; not null
   * @param mayBegin looked at right before the first byte, on any thread: if false, nothing is
   *     sent; not null
   * @return never null
   */
  CompletableFuture<OrderReply> grant(
      String address, LeaseOrder.Grant order, BooleanSupplier mayBegin);

  /**
   * Ends a lease. The target answers when the work on its keys has ended.
   *
   * @param address IP address and port of the target; not null
   * @param order what to release; not null
   * @param mayBegin as for a grant; not null
   * @return never null
   */
  CompletableFuture<OrderReply> release(
      String address, LeaseOrder.Release order, BooleanSupplier mayBegin);
}
