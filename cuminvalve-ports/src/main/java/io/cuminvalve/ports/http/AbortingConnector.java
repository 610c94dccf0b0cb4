package io.cuminvalve.ports.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.Scheduler;
import org.tinylog.Logger;

/**
 * Opens connections that are reset when this side closes them.
 *
 * <p>An abandoned call must not take effect later. After an orderly close, data in transit is still
 * delivered, seconds later if the network path is interrupted: a grant could then take effect after
 * its keys have moved to another target. A reset makes both sides discard that data.
 *
 * <p>A reset by the peer fails the call whose response is being read.
 */
final class AbortingConnector extends PlainConnector {

  /** How many bytes a connection may bring before its first call. */
  private static final long MAX_IDLE_BYTES = 16 * 1024;

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new AbortingEndPoint((SocketChannel) channel, selector, key, getScheduler());
  }

  private static final class AbortingEndPoint extends CountingEndPoint {

    AbortingEndPoint(
        SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
      super(channel, selector, key, scheduler, MAX_IDLE_BYTES);
    }

    /**
     * Makes the close that follows discard unsent data, which an orderly shutdown of the output
     * would still send.
     */
    @Override
    protected void doShutdownOutput() {
      try {
        getChannel().setOption(StandardSocketOptions.SO_LINGER, 0);
      } catch (IOException closed) {
        Logger.debug(
            "connection was closed before it could be set to reset on close: {}",
            closed.getMessage());
      }
    }
  }
}
