package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import java.util.Optional;

/**
 * Something that a target has to be told about a range.
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
   * Returns the receiver.
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
   * @return above every token that was used for these keys before, or the same for a renewal
   */
  long token();

  /**
   * Tells whether it may only go over a connection on which the target has answered before.
   *
   * <p>A holder that may have been replaced must not reach another run which has the name of the
   * one that it knows: that run remembers no token by which it could refuse.
   *
   * @return true while the term is not confirmed
   */
  boolean knownConnectionOnly();

  /**
   * Grants or renews a lease.
   *
   * @param service the service; not null
   * @param target the receiver; not null
   * @param range the keys; not null
   * @param token the fencing token
   * @param leaseMs how long it runs; milliseconds
   * @param handover what the previous owner passed on; not null
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
   * @param target the receiver; not null
   * @param range the keys; not null
   * @param token the fencing token of the next owner, so that late grants are refused
   * @param knownConnectionOnly see {@link LeaseOrder#knownConnectionOnly()}
   */
  record Release(
      ServiceId service, TargetId target, KeyRange range, long token, boolean knownConnectionOnly)
      implements LeaseOrder {}
}
