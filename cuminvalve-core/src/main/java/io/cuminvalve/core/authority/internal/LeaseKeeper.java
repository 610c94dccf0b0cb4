package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.RoutingView;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.table.ShardTable;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the route lease of a router.
 *
 * <p>A majority of the witnesses of version v that confirmed a request sent at t prove that nothing
 * newer than v was closed before t. So the lease lasts until t plus the lease length, also after a
 * newer version than v is installed: the bound on the age of what the router knows is the same.
 *
 * @since 0.1
 */
public final class LeaseKeeper {

  private static final int MAX_PENDING = 16;

  private final long routeLeaseMs;
  private final long leaseRenewMs;
  private final Map<Long, Attempt> pending = new LinkedHashMap<>();
  private long confirmedSentAtMs = RoutingView.NEVER_MS;
  private long lastSentAtMs = RoutingView.NEVER_MS;

  /**
   * Creates the keeper of a router without a lease.
   *
   * @param routeLeaseMs length of a lease
   * @param leaseRenewMs time between two requests
   */
  public LeaseKeeper(long routeLeaseMs, long leaseRenewMs) {
    this.routeLeaseMs = routeLeaseMs;
    this.leaseRenewMs = leaseRenewMs;
  }

  /**
   * Tells whether it is time for a request.
   *
   * @param nowMs the current time
   * @return true if the last request is a renewal interval ago
   */
  public boolean isDue(long nowMs) {
    return lastSentAtMs == RoutingView.NEVER_MS || nowMs - lastSentAtMs >= leaseRenewMs;
  }

  /**
   * Records that a request is sent to all witnesses.
   *
   * @param nonce pairs the replies
   * @param table the installed table; not null
   * @param nowMs the time before the first message is sent
   */
  public void onSent(long nonce, ShardTable table, long nowMs) {
    lastSentAtMs = nowMs;
    pending.put(nonce, new Attempt(nowMs, Set.copyOf(table.witnesses())));
    Iterator<Long> oldest = pending.keySet().iterator();
    while (pending.size() > MAX_PENDING) {
      oldest.next();
      oldest.remove();
    }
  }

  /**
   * Records the confirmation of a witness.
   *
   * @param nonce from the reply
   * @param witness the witness; not null
   * @return whether the lease became longer
   */
  public boolean onConfirmed(long nonce, RouterId witness) {
    Attempt attempt = pending.get(nonce);
    if (attempt == null || !attempt.witnesses.contains(witness)) {
      return false;
    }
    attempt.confirmed.add(witness);
    if (attempt.confirmed.size() < Majority.of(attempt.witnesses.size())) {
      return false;
    }
    pending.remove(nonce);
    if (attempt.sentAtMs <= confirmedSentAtMs) {
      return false;
    }
    confirmedSentAtMs = attempt.sentAtMs;
    return true;
  }

  /**
   * Returns when the lease ends.
   *
   * @return {@link RoutingView#NEVER_MS} if there was none yet
   */
  public long leaseEndMs() {
    return confirmedSentAtMs == RoutingView.NEVER_MS
        ? RoutingView.NEVER_MS
        : confirmedSentAtMs + routeLeaseMs;
  }

  private static final class Attempt {
    private final long sentAtMs;
    private final Set<RouterId> witnesses;
    private final Set<RouterId> confirmed = new HashSet<>();

    Attempt(long sentAtMs, Set<RouterId> witnesses) {
      this.sentAtMs = sentAtMs;
      this.witnesses = witnesses;
    }
  }
}
