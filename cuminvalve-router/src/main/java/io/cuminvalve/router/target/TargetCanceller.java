package io.cuminvalve.router.target;

import io.cuminvalve.core.id.RequestId;

/**
 * Asks a target to give up a request.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TargetCanceller {

  /**
   * Sends the order; best effort. Does not block.
   *
   * @param target the target; not null
   * @param id the request; not null
   * @param onDone called once, when the target answered or will not; not null
   */
  void cancel(TargetRecord target, RequestId id, Runnable onDone);
}
