package io.cuminvalve.core.quota;

import io.cuminvalve.core.id.TargetId;

/**
 * What a process knows of the limit of one run of a target. Clocks of processes differ, so the time
 * is told as an age.
 *
 * @param target the run of the target; not null
 * @param perS the requests a second that it takes from all gateways together, at least 0; {@link
 *     #NONE} if it names no limit any more
 * @param ageMs how long ago an answer said so; milliseconds
 * @since 0.2
 */
public record LimitReport(TargetId target, double perS, long ageMs) {

  /** Stands for the limit of a target that names none. */
  public static final double NONE = -1;

  /**
   * Tells whether the target has a limit.
   *
   * @return false if it names none any more
   */
  public boolean isLimited() {
    return perS >= 0;
  }
}
