package io.cuminvalve.core.send;

import io.cuminvalve.kernel.UpperTime;

/**
 * Provides the status of the conditions for sending one message.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface ConditionLookup {

  /**
   * Returns the status of a condition.
   *
   * @param condition a condition that applies to the kind of message; not null
   * @param now the current time; not null
   * @return the last known status; never null
   */
  ConditionStatus of(SendCondition condition, UpperTime now);
}
