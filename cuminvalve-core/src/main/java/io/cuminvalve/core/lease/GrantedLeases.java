package io.cuminvalve.core.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * The leases on one range that one term holder granted to one owner. Immutable.
 *
 * <p>The answer to a grant does not identify the run of the owner that sent it. A lease is
 * therefore void before its expiry only if another target answers at the owner's address to an
 * order that was sent after the grant had ended: whichever run accepted the grant has terminated by
 * then.
 */
final class GrantedLeases {

  /** No lease. */
  static final GrantedLeases NONE = new GrantedLeases(List.of());

  /** The end of a grant whose outcome is no longer awaited: no later answer voids its lease. */
  private static final long NEVER_MS = Long.MAX_VALUE;

  private final List<Lease> leases;

  private GrantedLeases(List<Lease> leases) {
    this.leases = List.copyOf(leases);
  }

  /** Returns these leases and that of a grant that has ended, with or without an answer. */
  GrantedLeases with(long untilMs, long endedMs) {
    Lease added = new Lease(untilMs, endedMs);
    List<Lease> both = new ArrayList<>(leases);
    both.removeIf(added::outlasts);
    both.add(added);
    return new GrantedLeases(both);
  }

  /** Returns these leases and that of a grant whose outcome will not be observed. */
  GrantedLeases withUnobserved(long untilMs) {
    return with(untilMs, NEVER_MS);
  }

  /** Returns these leases and the others, any of which may be in force. */
  GrantedLeases mergedWith(GrantedLeases others) {
    GrantedLeases joined = this;
    for (Lease lease : others.leases) {
      joined = joined.with(lease.untilMs, lease.endedMs);
    }
    return joined;
  }

  /**
   * Returns the leases that may still be in force after another target answered to an order.
   *
   * @param sentMs when the order was sent
   */
  GrantedLeases withoutGrantsEndedBefore(long sentMs) {
    return new GrantedLeases(leases.stream().filter(lease -> lease.endedMs >= sentMs).toList());
  }

  /** Returns until when any of the leases may be in force; 0 if there is none. */
  long untilMs() {
    return leases.stream().mapToLong(Lease::untilMs).max().orElse(0);
  }

  /**
   * One lease.
   *
   * @param untilMs until when it may be in force
   * @param endedMs a time at or after which its grant was answered or timed out
   */
  private record Lease(long untilMs, long endedMs) {

    /** Returns whether this lease makes the other one redundant. */
    boolean outlasts(Lease other) {
      return untilMs >= other.untilMs && endedMs >= other.endedMs;
    }
  }
}
