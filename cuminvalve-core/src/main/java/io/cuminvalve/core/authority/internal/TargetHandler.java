package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.TargetReply;

/**
 * Takes the answer to one order to a target.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TargetHandler {

  /**
   * Takes the answer; called exactly once per order.
   *
   * @param reply the answer, NO_ANSWER if none came in time; not null
   * @param nowMs the current time
   */
  void onReply(TargetReply reply, long nowMs);
}
