package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.verdict.RefusalReason;

/**
 * Receives the decisions and outgoing messages of an {@link AdmissionCoordinator}. Calls may occur
 * before the call that caused them returns.
 *
 * @since 0.1
 */
public interface AdmissionSink {

  /**
   * Called when a request of this router was granted a slot.
   *
   * @param permit the number of the permit
   */
  void granted(long permit);

  /**
   * Called when a request of this router was refused a slot.
   *
   * @param permit the number of the permit
   * @param reason the reason; not null
   * @param retryAfterMs when to retry; milliseconds
   */
  void refused(long permit, RefusalReason reason, long retryAfterMs);

  /**
   * Sends a message to another router. The protocol tolerates loss.
   *
   * @param to the receiving router; not null
   * @param message the message; not null
   */
  void send(RouterId to, PeerMessage message);
}
