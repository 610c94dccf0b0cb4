package io.cuminvalve.ports.lease;

import io.cuminvalve.core.lease.LeaseOrder;
import java.util.concurrent.CompletableFuture;

/**
 * Port to the targets, to grant and release leases of key ranges.
 *
 * <p>Every future completes normally, within a bounded time.
 *
 * @since 0.2
 */
public interface LeaseControl {

  /**
   * Grants or renews a lease.
   *
   * @param address IP address and port of the target; not null
   * @param order what to grant; not null
   * @return never null
   */
  CompletableFuture<OrderReply> grant(String address, LeaseOrder.Grant order);

  /**
   * Ends a lease. The target answers when the work on its keys has ended.
   *
   * @param address IP address and port of the target; not null
   * @param order what to release; not null
   * @return never null
   */
  CompletableFuture<OrderReply> release(String address, LeaseOrder.Release order);
}
