package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.StoreReply;

/**
 * Takes the answer to one store operation.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface StoreHandler {

  /**
   * Takes the answer; called exactly once per operation.
   *
   * @param reply the answer, UNKNOWN if none came in time; not null
   * @param nowMs the current time
   */
  void onReply(StoreReply reply, long nowMs);
}
