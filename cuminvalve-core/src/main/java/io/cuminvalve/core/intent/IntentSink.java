package io.cuminvalve.core.intent;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.Verdict;

/**
 * Receives the effects of an {@link IntentCoordinator}. Calls may come before the call that caused
 * them returns.
 *
 * @since 0.1
 */
public interface IntentSink {

  /**
   * Enough routers know of the operation: it may be sent.
   *
   * @param request the request that claimed it; not null
   */
  void granted(RequestId request);

  /**
   * The operation must not be sent.
   *
   * @param request the request that wanted to claim it; not null
   * @param earlier whether the operation may have run; never NOT_RUN; not null
   * @param reason why; not null
   * @param retryAfterMs when to ask again; milliseconds
   */
  void refused(RequestId request, Verdict earlier, RefusalReason reason, long retryAfterMs);

  /**
   * Send a message to another router; loss is tolerated.
   *
   * @param to the receiver; not null
   * @param message the message; not null
   */
  void send(RouterId to, PeerMessage message);
}
