package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.protocol.PeerMessage;
import io.cuminvalve.core.verdict.RefusalReason;

/**
 * Receives the effects of an {@link AdmissionCoordinator}. Calls may come before the call that
 * caused them returns.
 *
 * @since 0.1
 */
public interface AdmissionSink {

  /**
   * A request of this router has its slot.
   *
   * @param permit the number of the permit
   */
  void granted(long permit);

  /**
   * A request of this router gets no slot.
   *
   * @param permit the number of the permit
   * @param reason why; not null
   * @param retryAfterMs when to come back; milliseconds
   */
  void refused(long permit, RefusalReason reason, long retryAfterMs);

  /**
   * Send a message to another router; loss is tolerated.
   *
   * @param to the receiver; not null
   * @param message the message; not null
   */
  void send(RouterId to, PeerMessage message);
}
