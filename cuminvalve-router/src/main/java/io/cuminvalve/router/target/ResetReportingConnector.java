package io.cuminvalve.router.target;

import io.cuminvalve.ports.http.PlainConnector;
import io.cuminvalve.ports.http.ResetReportingEndPoint;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Opens connections on which a reset is a failure, and so are bytes without end that are no answer.
 *
 * <p>The library bounds heads and trailers, and whoever reads a body bounds it. Interim responses
 * and size lines of chunks have no such bound, so the connection counts what it reads between one
 * part of an answer and the next.
 */
final class ResetReportingConnector extends PlainConnector {

  private final long maxBytesBetweenParts;

  /**
   * Creates a connector.
   *
   * @param maxBytesBetweenParts how many bytes may be read without a part of an answer; at least 1
   */
  ResetReportingConnector(long maxBytesBetweenParts) {
    this.maxBytesBetweenParts = maxBytesBetweenParts;
  }

  /**
   * Starts to count anew on a connection, since a request begins on it or a part of its answer
   * arrived.
   *
   * @param connection the connection; one that this class has not opened is ignored
   */
  static void onProgress(org.eclipse.jetty.client.Connection connection) {
    if (connection instanceof Connection opened
        && opened.getEndPoint() instanceof CountingEndPoint endPoint) {
      endPoint.bytesSincePart = 0;
    }
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new CountingEndPoint(
        (SocketChannel) channel, selector, key, getScheduler(), maxBytesBetweenParts);
  }

  private static final class CountingEndPoint extends ResetReportingEndPoint {

    private final long maxBytesBetweenParts;

    /** Written by the thread that reads the connection and by the one that takes its parts. */
    private volatile long bytesSincePart;

    CountingEndPoint(
        SocketChannel channel,
        ManagedSelector selector,
        SelectionKey key,
        Scheduler scheduler,
        long maxBytesBetweenParts) {
      super(channel, selector, key, scheduler);
      this.maxBytesBetweenParts = maxBytesBetweenParts;
    }

    /** A part that arrives meanwhile may be missed; it is then counted with the next one. */
    @Override
    @SuppressWarnings("NonAtomicVolatileUpdate")
    protected void onFilled(int filledBytes) throws EndlessAnswerException {
      bytesSincePart += filledBytes;
      if (bytesSincePart > maxBytesBetweenParts) {
        throw new EndlessAnswerException(maxBytesBetweenParts);
      }
    }
  }
}
