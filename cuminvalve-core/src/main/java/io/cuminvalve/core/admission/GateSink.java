package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.verdict.RefusalReason;

/**
 * Receives the decisions of a {@link TargetGate}.
 *
 * @since 0.1
 */
public interface GateSink {

  /**
   * Called when a request was granted a slot.
   *
   * @param router the requesting router; not null
   * @param incarnation the incarnation of that router
   * @param permit the number of the permit
   */
  void granted(RouterId router, long incarnation, long permit);

  /**
   * Called when a request was queued.
   *
   * @param router the requesting router; not null
   * @param incarnation the incarnation of that router
   * @param permit the number of the permit
   */
  void queued(RouterId router, long incarnation, long permit);

  /**
   * Called when a request was refused and is not queued any longer.
   *
   * @param router the requesting router; not null
   * @param incarnation the incarnation of that router
   * @param permit the number of the permit
   * @param reason the reason; not null
   * @param retryAfterMs when to retry; milliseconds
   */
  void refused(
      RouterId router, long incarnation, long permit, RefusalReason reason, long retryAfterMs);
}
