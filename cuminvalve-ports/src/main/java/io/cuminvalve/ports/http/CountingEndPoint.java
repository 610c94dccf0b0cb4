package io.cuminvalve.ports.http;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection that fails when the peer sends bytes without end.
 *
 * <p>Jetty bounds heads and trailers if told to, and whoever reads a body bounds it. Interim
 * responses and the size lines of chunks have no such bound. The connection therefore counts all
 * bytes that it reads, until the count is restarted at the next call or the next part of a
 * response.
 *
 * @since 0.2
 */
public class CountingEndPoint extends ResetReportingEndPoint {

  private volatile long maxBytes;

  /** Written by the thread that reads the connection and by the one that restarts the count. */
  private volatile long countedBytes;

  /**
   * Creates the end point of a connection.
   *
   * @param channel the connection; not null
   * @param selector selects the channel; not null
   * @param key the key of the channel; not null
   * @param scheduler schedules the idle timeout; not null
   * @param maxBytes how many bytes may be read until the count is restarted; at least 1
   */
  public CountingEndPoint(
      SocketChannel channel,
      ManagedSelector selector,
      SelectionKey key,
      Scheduler scheduler,
      long maxBytes) {
    super(channel, selector, key, scheduler);
    this.maxBytes = maxBytes;
  }

  /**
   * Restarts the count of a connection.
   *
   * @param connection the connection; one without such an end point is ignored
   */
  public static void restart(org.eclipse.jetty.client.Connection connection) {
    if (connection instanceof Connection opened
        && opened.getEndPoint() instanceof CountingEndPoint endPoint) {
      endPoint.countedBytes = 0;
    }
  }

  /**
   * Restarts the count of a connection with another bound.
   *
   * @param connection the connection; one without such an end point is ignored
   * @param maxBytes how many bytes may be read until the count is restarted; at least 1
   */
  public static void restart(org.eclipse.jetty.client.Connection connection, long maxBytes) {
    if (connection instanceof Connection opened
        && opened.getEndPoint() instanceof CountingEndPoint endPoint) {
      endPoint.maxBytes = maxBytes;
      endPoint.countedBytes = 0;
    }
  }

  /** A restart that happens meanwhile may be missed; the bytes then count for the next part. */
  @Override
  @SuppressWarnings("NonAtomicVolatileUpdate")
  protected void onFilled(int filledBytes) throws EndlessResponseException {
    countedBytes += filledBytes;
    if (countedBytes > maxBytes) {
      throw new EndlessResponseException(maxBytes);
    }
  }
}
