package io.cuminvalve.testkit.http;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * A small HTTP server on the loopback address that can be stopped abruptly and started again.
 *
 * @since 0.1
 */
public final class HttpStandIn implements AutoCloseable {

  /** How much of a request's body is kept; the rest is counted and dropped. */
  public static final int MAX_KEPT_BODY_BYTES = (1 << 20) + 1;

  private static final String LOOPBACK = "127.0.0.1";
  private static final int MAX_THREADS = 16;
  private static final int MIN_THREADS = 2;

  /** Long enough that only a fault switch ends a connection. */
  private static final long IDLE_TIMEOUT_MS = 3_600_000;

  private final String name;
  private final int maxConnections;
  private final Consumer<Exchange> service;
  private int port;
  private Server server;

  /**
   * Creates a server that is not started yet.
   *
   * @param name for thread names; not null
   * @param port the port, or 0 for any free one
   * @param maxConnections how many connections it accepts at a time, or 0 for no limit
   * @param service answers each request; must not block; not null
   */
  public HttpStandIn(String name, int port, int maxConnections, Consumer<Exchange> service) {
    this.name = name;
    this.port = port;
    this.maxConnections = maxConnections;
    this.service = service;
  }

  /** Starts to listen, on the same port as before if it was started already once. */
  public synchronized void start() {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName(name);
    threads.setDaemon(true);
    server = new Server(threads);
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    ServerConnector connector =
        new ServerConnector(server, 0, 1, new HttpConnectionFactory(configuration));
    connector.setHost(LOOPBACK);
    connector.setPort(port);
    connector.setReuseAddress(true);
    connector.setIdleTimeout(IDLE_TIMEOUT_MS);
    server.addConnector(connector);
    if (maxConnections > 0) {
      server.addBean(new NetworkConnectionLimit(maxConnections, connector));
    }
    server.setHandler(new ServiceHandler());
    try {
      server.start();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.UNAVAILABLE, "cannot listen on port " + port, e);
    }
    port = connector.getLocalPort();
  }

  /** Stops to listen and closes every connection at once; requests in flight get no answer. */
  public synchronized void stop() {
    if (server == null) {
      return;
    }
    try {
      server.setStopTimeout(0);
      server.stop();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot stop " + name, e);
    }
    server = null;
  }

  @Override
  public void close() {
    stop();
  }

  /**
   * Returns the address it listens on.
   *
   * @return IP number and port, such as {@code 127.0.0.1:9001}
   */
  public synchronized String address() {
    return LOOPBACK + ":" + port;
  }

  private final class ServiceHandler extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      new BodyReader(
              request,
              callback,
              (body, length) ->
                  serve(new Exchange(request, response, callback, body, length), callback))
          .run();
      return true;
    }

    private void serve(Exchange exchange, Callback callback) {
      try {
        service.accept(exchange);
      } catch (RuntimeException e) {
        callback.failed(e);
      }
    }
  }
}
