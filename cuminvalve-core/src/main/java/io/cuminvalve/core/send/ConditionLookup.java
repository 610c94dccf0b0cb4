package io.cuminvalve.core.send;

import io.cuminvalve.kernel.UpperTime;

/**
 * Knows all that may forbid one send.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface ConditionLookup {

  /**
   * Looks at one condition.
   *
   * @param condition one that concerns this kind of message; not null
   * @param now the time; not null
   * @return what is known of it; never null
   */
  ConditionStatus of(SendCondition condition, UpperTime now);
}
