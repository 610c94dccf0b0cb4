package io.cuminvalve.core.intent;

import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.verdict.RefusalReason;
import io.cuminvalve.core.verdict.Verdict;

/**
 * Receives the results and messages of an {@link IntentCoordinator}. Methods may be called before
 * the call that caused them returns.
 *
 * @since 0.1
 */
public interface IntentSink {

  /**
   * Reports that enough replicas stored the claim: the operation may be sent.
   *
   * @param request the request that claimed it; not null
   */
  void granted(RequestId request);

  /**
   * Reports that the operation must not be sent.
   *
   * @param request the request whose claim was rejected; not null
   * @param earlier whether the operation was or may have been executed; never NOT_RUN; not null
   * @param reason the reason; not null
   * @param retryAfterMs delay before the caller may retry; milliseconds
   */
  void refused(RequestId request, Verdict earlier, RefusalReason reason, long retryAfterMs);

  /**
   * Sends a message to another router; it may be lost.
   *
   * @param to the receiving router; not null
   * @param message the message; not null
   */
  void send(RouterId to, PeerMessage message);
}
