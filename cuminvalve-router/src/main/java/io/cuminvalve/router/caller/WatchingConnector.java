package io.cuminvalve.router.caller;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * Accepts callers' connections and makes each of them a {@link CallerEndPoint}.
 *
 * @since 0.2
 */
public final class WatchingConnector extends ServerConnector {

  /**
   * Creates a connector.
   *
   * @param server the server that it belongs to; not null
   * @param protocols what callers may speak, the first one by default; not null
   */
  public WatchingConnector(Server server, ConnectionFactory... protocols) {
    super(server, protocols);
  }

  @Override
  protected SocketChannelEndPoint newEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key) {
    CallerEndPoint endPoint =
        new CallerEndPoint(channel, selector, key, getScheduler(), getExecutor());
    endPoint.setIdleTimeout(getIdleTimeout());
    return endPoint;
  }
}
