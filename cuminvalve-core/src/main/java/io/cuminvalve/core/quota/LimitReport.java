package io.cuminvalve.core.quota;

import io.cuminvalve.core.id.TargetId;

/**
 * The rate limit of one incarnation of a target as known to a process. The time of the observation
 * is sent as an age, because the clocks of processes differ.
 *
 * @param target the incarnation of the target; not null
 * @param perS the requests per second that it accepts from all gateways together, at least 0;
 *     {@link #NONE} if it no longer has a limit
 * @param ageMs the age of the answer that stated this; milliseconds
 * @since 0.2
 */
public record LimitReport(TargetId target, double perS, long ageMs) {

  /** Denotes that a target has no limit. */
  public static final double NONE = -1;

  /**
   * Returns whether the target has a limit.
   *
   * @return false if it no longer has one
   */
  public boolean isLimited() {
    return perS >= 0;
  }
}
