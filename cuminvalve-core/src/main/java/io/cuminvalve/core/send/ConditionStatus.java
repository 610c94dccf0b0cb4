package io.cuminvalve.core.send;

import io.cuminvalve.kernel.UpperTime;

/**
 * Whether a condition held, as of when that is known, and for how long it may be relied on.
 *
 * @param holds whether it held
 * @param asOf the latest time at which it is proved to have held; {@link UpperTime#NEVER} if it
 *     never was; not null
 * @param maxAgeMs how old that proof may be; milliseconds
 * @since 0.2
 */
public record ConditionStatus(boolean holds, UpperTime asOf, long maxAgeMs) {

  private static final long UNBOUNDED_MS = Long.MAX_VALUE;

  /**
   * Returns a fact that this process decides by itself: it is never out of date.
   *
   * @param holds whether the condition holds
   * @param now the time; not null
   * @return never null
   */
  public static ConditionStatus local(boolean holds, UpperTime now) {
    return new ConditionStatus(holds, now, UNBOUNDED_MS);
  }

  /**
   * Returns a fact about others, which may have changed since.
   *
   * @param holds whether the condition held
   * @param asOf when it is proved to have held; not null
   * @param maxAgeMs how old that may be; milliseconds
   * @return never null
   */
  public static ConditionStatus heard(boolean holds, UpperTime asOf, long maxAgeMs) {
    return new ConditionStatus(holds, asOf, maxAgeMs);
  }

  /**
   * Tells whether it forbids a send.
   *
   * @param now the time of the first byte; not null
   * @return true if the condition did not hold, or the proof is too old
   */
  public boolean forbids(UpperTime now) {
    return !holds || now.sinceMs(asOf) > maxAgeMs;
  }
}
