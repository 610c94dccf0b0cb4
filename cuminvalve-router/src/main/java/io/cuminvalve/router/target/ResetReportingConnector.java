package io.cuminvalve.router.target;

import io.cuminvalve.ports.http.PlainConnector;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Opens connections on which a reset is a failure.
 *
 * <p>The library reads a reset as the end of the stream. An answer without a length ends with its
 * connection, so one that was cut by a reset would pass for a whole one.
 */
final class ResetReportingConnector extends PlainConnector {

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new ResetReportingEndPoint((SocketChannel) channel, selector, key, getScheduler());
  }

  private static final class ResetReportingEndPoint extends SocketChannelEndPoint {

    ResetReportingEndPoint(
        SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
      super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
      if (isInputShutdown()) {
        return -1;
      }
      int position = BufferUtil.flipToFill(buffer);
      int filled;
      try {
        filled = getChannel().read(buffer);
      } finally {
        BufferUtil.flipToFlush(buffer, position);
      }
      if (filled > 0) {
        notIdle();
      } else if (filled < 0) {
        shutdownInput();
      }
      return filled;
    }
  }
}
