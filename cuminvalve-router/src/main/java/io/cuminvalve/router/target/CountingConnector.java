package io.cuminvalve.router.target;

import io.cuminvalve.ports.http.CountingEndPoint;
import io.cuminvalve.ports.http.PlainConnector;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;

/**
 * Opens connections on which a reset is a failure, and so are bytes without end that are no answer.
 *
 * <p>Whoever reads a body bounds it, so a connection counts only what it reads between one part of
 * an answer and the next.
 */
final class CountingConnector extends PlainConnector {

  private final long maxBytesBetweenParts;

  /**
   * Creates a connector.
   *
   * @param maxBytesBetweenParts how many bytes may be read without a part of an answer; at least 1
   */
  CountingConnector(long maxBytesBetweenParts) {
    this.maxBytesBetweenParts = maxBytesBetweenParts;
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new CountingEndPoint(
        (SocketChannel) channel, selector, key, getScheduler(), maxBytesBetweenParts);
  }
}
