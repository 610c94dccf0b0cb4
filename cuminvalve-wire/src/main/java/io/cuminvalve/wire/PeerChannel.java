package io.cuminvalve.wire;

import io.cuminvalve.core.protocol.PeerMessage;

/**
 * Sends messages to one peer.
 *
 * <p>Messages are sent in order and at most once, without acknowledgement. Thread-safe.
 *
 * @since 0.1
 */
public interface PeerChannel {

  /**
   * Returns the address of the peer's own listener.
   *
   * @return IP address and port, never null
   */
  String peerAddress();

  /**
   * Queues a message for sending. Never blocks.
   *
   * <p>The queue is bounded: when it is full, the oldest heartbeat or heartbeat reply is dropped,
   * or the oldest message if there is none.
   *
   * @param message the message; not null
   * @return false if the channel is closed and the message was dropped
   */
  boolean send(PeerMessage message);
}
