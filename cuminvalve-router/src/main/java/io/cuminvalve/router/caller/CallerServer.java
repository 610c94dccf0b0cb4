package io.cuminvalve.router.caller;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.ManagedService;
import io.cuminvalve.kernel.MillisClock;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The server towards callers: HTTP/1.1 and HTTP/2 without TLS on one port.
 *
 * @since 0.1
 */
public final class CallerServer implements ManagedService {

  private static final int MAX_THREADS = 32;
  private static final int MIN_THREADS = 4;
  private static final int ACCEPT_BACKLOG = 512;
  private static final long IDLE_TIMEOUT_MS = 60_000;

  private final Server server;
  private final ServerConnector connector;
  private final CallerHandler handler;

  /**
   * Creates a server that does not listen yet.
   *
   * @param address where it will listen; not null
   * @param limits bounds on requests; not null
   * @param handler takes the requests; not null
   */
  public CallerServer(InetSocketAddress address, CallerLimits limits, CallerHandler handler) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("caller");
    threads.setDaemon(true);
    this.handler = handler;
    this.server = new Server(threads);
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setRequestHeaderSize(limits.maxHeaderBytes());
    http.setResponseHeaderSize(limits.maxHeaderBytes());
    this.connector =
        new WatchingConnector(
            server,
            MillisClock.system(),
            new HttpConnectionFactory(http),
            new HTTP2CServerConnectionFactory(http));
    connector.setHost(address.getHostString());
    connector.setPort(address.getPort());
    connector.setIdleTimeout(IDLE_TIMEOUT_MS);
    connector.setAcceptQueueSize(ACCEPT_BACKLOG);
    server.addConnector(connector);
    server.setHandler(handler);
  }

  @Override
  public void start() {
    try {
      server.start();
    } catch (Exception e) {
      throw new CodedException(
          ErrorCode.UNAVAILABLE, "the caller port cannot be opened: " + e.getMessage(), e);
    }
  }

  @Override
  public void drain() {
    try {
      handler.beginStop().get();
    } catch (InterruptedException tooLong) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      throw new CodedException(ErrorCode.INTERNAL, "requests in flight did not end", e);
    }
  }

  @Override
  public void stop() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.INTERNAL, "the caller server does not stop", e);
    }
  }

  /**
   * Returns the port that it listens on.
   *
   * @return a port, once started
   */
  public int port() {
    return connector.getLocalPort();
  }
}
