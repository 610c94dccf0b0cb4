package io.cuminvalve.core.authority;

import io.cuminvalve.core.id.Incarnation;

/**
 * One reading of a target's clock, from which a router derives expiries on that clock.
 *
 * <p>The reading was taken before the router heard of it, so an expiry derived from it is never
 * later on the target's clock than the router meant, apart from clock rates. An expiry counted from
 * receipt would be unsafe: a request may wait in a frozen target's socket for any time.
 *
 * @param incarnation the run of the target that the reading belongs to; not null
 * @param reportedMs the target's clock, in its own milliseconds
 * @param heardAtMs when the router heard of it, on the router's clock
 * @since 0.1
 */
public record GrantClock(Incarnation incarnation, long reportedMs, long heardAtMs) {

  /**
   * Translates a moment on the router's clock.
   *
   * @param untilMs the moment on the router's clock
   * @return the expiry on the target's clock
   */
  public long expiryMs(long untilMs) {
    return reportedMs + (untilMs - heardAtMs);
  }
}
