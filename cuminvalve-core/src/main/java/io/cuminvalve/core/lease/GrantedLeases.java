package io.cuminvalve.core.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * The leases of one range at one owner, as far as one holder granted them.
 *
 * <p>The answer to a grant does not tell which run of the owner gave it. So a lease is void early
 * only if another target answers at the owner's address to an order that was sent after the grant
 * had ended: whichever run took the grant has ended by then. Immutable.
 */
final class GrantedLeases {

  /** No lease. */
  static final GrantedLeases NONE = new GrantedLeases(List.of());

  private static final long NEVER_MS = Long.MAX_VALUE;

  private final List<Lease> leases;

  private GrantedLeases(List<Lease> leases) {
    this.leases = List.copyOf(leases);
  }

  /** Returns these and that of a grant which ended just now, with or without an answer. */
  GrantedLeases with(long untilMs, long endedMs) {
    Lease added = new Lease(untilMs, endedMs);
    List<Lease> both = new ArrayList<>(leases);
    both.removeIf(added::outlasts);
    both.add(added);
    return new GrantedLeases(both);
  }

  /** Returns these and that of a grant whose end will not be noticed. */
  GrantedLeases withUnobserved(long untilMs) {
    return with(untilMs, NEVER_MS);
  }

  /** Returns these and the others, of which either may be in force. */
  GrantedLeases mergedWith(GrantedLeases others) {
    GrantedLeases joined = this;
    for (Lease lease : others.leases) {
      joined = joined.with(lease.untilMs, lease.endedMs);
    }
    return joined;
  }

  /** Another target answered to an order that was sent then: returns what may still be in force. */
  GrantedLeases withoutGrantsEndedBefore(long sentMs) {
    return new GrantedLeases(leases.stream().filter(lease -> lease.endedMs >= sentMs).toList());
  }

  /** Returns until when any of them may be in force; 0 if there is none. */
  long untilMs() {
    return leases.stream().mapToLong(Lease::untilMs).max().orElse(0);
  }

  /**
   * One lease.
   *
   * @param untilMs until when it may be in force
   * @param endedMs when its grant was answered or given up, or later
   */
  private record Lease(long untilMs, long endedMs) {

    /** Tells whether the other one need not be kept beside this one. */
    boolean outlasts(Lease other) {
      return untilMs >= other.untilMs && endedMs >= other.endedMs;
    }
  }
}
