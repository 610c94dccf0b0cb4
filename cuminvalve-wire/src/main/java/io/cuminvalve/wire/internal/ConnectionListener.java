package io.cuminvalve.wire.internal;

/**
 * Receives the events of a connection, on the reactor thread.
 *
 * @since 0.1
 */
public interface ConnectionListener {

  /**
   * The handshake is complete: the peer is authenticated.
   *
   * @param connection the connection; not null
   */
  void onEstablished(Connection connection);

  /**
   * A frame arrived, which may be a keep-alive frame.
   *
   * @param connection the connection; not null
   */
  void onDataReceived(Connection connection);

  /**
   * A message arrived.
   *
   * @param connection the connection; not null
   * @param frame the encoded message; not null, not empty
   * @throws io.cuminvalve.kernel.CodedException with code PROTOCOL if the message is invalid; the
   *     connection is then closed
   */
  void onFrame(Connection connection, byte[] frame);

  /**
   * The connection was closed.
   *
   * @param connection the connection; not null
   * @param reason the reason; not null
   */
  void onClosed(Connection connection, CloseReason reason);
}
