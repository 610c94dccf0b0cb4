package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.Optional;

/**
 * An order to a target to take, keep or give up a lease on a range.
 *
 * @since 0.2
 */
public sealed interface LeaseOrder {

  /**
   * Returns the service.
   *
   * @return never null
   */
  ServiceId service();

  /**
   * Returns the target that the order is for.
   *
   * @return never null
   */
  TargetId target();

  /**
   * Returns the keys.
   *
   * @return never null
   */
  KeyRange range();

  /**
   * Returns the fencing token.
   *
   * @return higher than every token used for these keys before, or the same for a renewal
   */
  long token();

  /**
   * Returns whether the order may only be sent over a connection on which the target has answered
   * before.
   *
   * <p>A term holder that may have been replaced must not reach a newer run of the target under the
   * same name: that run has not seen the tokens by which it could refuse the order.
   *
   * @return true while the term is not confirmed
   */
  boolean knownConnectionOnly();

  /**
   * Grants or renews a lease.
   *
   * @param service the service; not null
   * @param target the target that the order is for; not null
   * @param range the keys; not null
   * @param token the fencing token
   * @param leaseMs the duration of the lease; milliseconds
   * @param handover the data that the previous owner returned on release; not null
   * @param knownConnectionOnly see {@link LeaseOrder#knownConnectionOnly()}
   */
  record Grant(
      ServiceId service,
      TargetId target,
      KeyRange range,
      long token,
      long leaseMs,
      Optional<String> handover,
      boolean knownConnectionOnly)
      implements LeaseOrder {}

  /**
   * Ends a lease.
   *
   * @param service the service; not null
   * @param target the target that the order is for; not null
   * @param range the keys; not null
   * @param token the fencing token of the next owner, so that the target refuses late grants
   * @param knownConnectionOnly see {@link LeaseOrder#knownConnectionOnly()}
   */
  record Release(
      ServiceId service, TargetId target, KeyRange range, long token, boolean knownConnectionOnly)
      implements LeaseOrder {}
}
