package io.cuminvalve.core.authority;

import io.cuminvalve.core.authority.internal.SafetyRules;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hands out the grant of each dispatch; the one part that control and traffic threads share.
 *
 * <p>A grant is recorded before the view is checked once more. So either the control thread, which
 * publishes a newer view before it reads the record, counts the grant, or the traffic thread sees
 * the newer view and does not dispatch.
 *
 * @since 0.1
 */
public final class DispatchGate {

  /** Returned instead of an expiry when the request must not be dispatched now. */
  public static final long NOT_ISSUED = Long.MIN_VALUE;

  private final AuthorityTimings timings;
  private final SafetyRules rules;
  private final AtomicLong latestGrantEndMs = new AtomicLong(Long.MIN_VALUE);
  private volatile RoutingView view = RoutingView.empty();

  DispatchGate(AuthorityTimings timings, SafetyRules rules) {
    this.timings = timings;
    this.rules = rules;
  }

  /**
   * Returns the current view.
   *
   * @return never null
   */
  public RoutingView view() {
    return view;
  }

  /**
   * Issues the grant of one request, immediately before its first byte is sent.
   *
   * @param seen the view that the owner and token were taken from; not null
   * @param shard the shard
   * @param clock the latest reading of the owner's clock; not null
   * @param nowMs the current time on the router's clock
   * @return the absolute expiry on the target's clock, or {@link #NOT_ISSUED} if the view is no
   *     longer current, the shard is shut, the lease has lapsed or the clock reading is too old
   */
  public long issueExpiryMs(RoutingView seen, int shard, GrantClock clock, long nowMs) {
    long untilMs = seen.dispatchableUntilMs(shard);
    boolean leased = !rules.checkLeaseAtDispatch() || untilMs > nowMs;
    if (untilMs == RoutingView.NEVER_MS || !leased) {
      return NOT_ISSUED;
    }
    if (nowMs - clock.heardAtMs() > timings.clockAgeMs()) {
      return NOT_ISSUED;
    }
    long grantEndMs = Math.min(untilMs, nowMs + timings.requestGrantMs());
    record(grantEndMs);
    RoutingView latest = view;
    boolean changed = latest.table() != seen.table();
    if (changed || latest.dispatchableUntilMs(shard) == RoutingView.NEVER_MS) {
      return NOT_ISSUED;
    }
    return clock.expiryMs(grantEndMs);
  }

  /** Publishes a newer view; from the control thread only. */
  void publish(RoutingView newer) {
    view = newer;
  }

  /**
   * Returns for how long a grant that this router issued, in this run or the last, can still be in
   * force.
   */
  long grantsRemainingMs(long nowMs, long startedAtMs) {
    long ownEndMs = latestGrantEndMs.get();
    long ownMs = ownEndMs == RoutingView.NEVER_MS ? 0 : Math.max(0, ownEndMs - nowMs);
    // The last run of this router ended before this one started; its grants ended within a lease.
    long lastRunMs = Math.max(0, timings.routeLeaseMs() - (nowMs - startedAtMs));
    return rules.rememberGrants() ? Math.max(ownMs, lastRunMs) : ownMs;
  }

  private void record(long grantEndMs) {
    if (latestGrantEndMs.get() < grantEndMs) {
      latestGrantEndMs.accumulateAndGet(grantEndMs, Math::max);
    }
  }
}
