package io.cuminvalve.core.send;

import io.cuminvalve.kernel.UpperTime;

/**
 * The last known status of a {@link SendCondition} with its age limit.
 *
 * @param holds whether the condition held when it was last known
 * @param asOf the latest time at which it is known to have held; {@link UpperTime#NEVER} if none;
 *     not null
 * @param maxAgeMs the maximum age of that knowledge; milliseconds
 * @since 0.2
 */
public record ConditionStatus(boolean holds, UpperTime asOf, long maxAgeMs) {

  private static final long UNBOUNDED_MS = Long.MAX_VALUE;

  /**
   * Returns the status of a condition that this process determines itself. It never becomes
   * outdated.
   *
   * @param holds whether the condition holds
   * @param now the current time; not null
   * @return never null
   */
  public static ConditionStatus local(boolean holds, UpperTime now) {
    return new ConditionStatus(holds, now, UNBOUNDED_MS);
  }

  /**
   * Returns the status of a condition that depends on other processes and may have changed since.
   *
   * @param holds whether the condition held
   * @param asOf the latest time at which it is known to have held; not null
   * @param maxAgeMs the maximum age of that knowledge; milliseconds
   * @return never null
   */
  public static ConditionStatus heard(boolean holds, UpperTime asOf, long maxAgeMs) {
    return new ConditionStatus(holds, asOf, maxAgeMs);
  }

  /**
   * Returns whether this status forbids sending.
   *
   * @param now the time of the first byte; not null
   * @return true if the condition did not hold or the knowledge is too old
   */
  public boolean forbids(UpperTime now) {
    return !holds || now.sinceMs(asOf) > maxAgeMs;
  }
}
