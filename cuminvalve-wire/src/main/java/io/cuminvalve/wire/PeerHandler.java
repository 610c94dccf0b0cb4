package io.cuminvalve.wire;

import io.cuminvalve.core.protocol.PeerMessage;

/**
 * Receives messages from peers.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Handles a message. Called on the executor of the network, for each connection in the order of
   * arrival.
   *
   * @param sender the channel that the message arrived on, for replies; not null
   * @param message the message; not null
   */
  void onMessage(PeerChannel sender, PeerMessage message);
}
