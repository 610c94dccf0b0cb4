package io.cuminvalve.router.target;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.ManagedService;
import io.cuminvalve.ports.http.DaemonThreadPool;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.AbstractConnectionPool;
import org.eclipse.jetty.client.ConnectionPool;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.ProtocolHandlers;
import org.eclipse.jetty.client.ProxyAuthenticationProtocolHandler;
import org.eclipse.jetty.client.RedirectProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.WWWAuthenticationProtocolHandler;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;

/**
 * Sends requests to targets over pooled HTTP/1.1 connections.
 *
 * <p>It never sends a request a second time of its own accord: no redirect, no authentication
 * round, no resend on a connection that turned out to be closed. It keeps no cookies and decodes no
 * content.
 *
 * <p>Attempts with the same identifier at one address never share a connection, on which a late
 * copy of the answer to one would pass for the answer to another: all first attempts share a pool,
 * all second ones share another, and so on.
 *
 * @since 0.1
 */
public final class TargetClient implements ManagedService {

  /** More than any target accepts; the bound in force is the one of {@link ConnectionLimits}. */
  private static final int POOL_CAPACITY = 4096;

  private static final int MAX_WAITING_FOR_CONNECTION = 1024;

  /**
   * Room between the parts of an answer, in heads of full size: the head itself, interim heads
   * before it, a read buffer, and the trailers of the answer.
   */
  private static final int MAX_HEADS_BETWEEN_PARTS = 4;

  private static final String SCHEME = "http";

  private final HttpClient client;
  private final boolean takesUnboundedAnswers;
  private final ConnectionLimits connectionLimits;

  /**
   * Creates a client that is not yet started.
   *
   * @param limits bounds for all targets; not null
   * @param connectionLimits the bound for each target; not null
   */
  public TargetClient(TargetClientLimits limits, ConnectionLimits connectionLimits) {
    this.connectionLimits = connectionLimits;
    this.takesUnboundedAnswers = limits.takesUnboundedAnswers();
    this.client = newClient(limits);
  }

  private HttpClient newClient(TargetClientLimits limits) {
    DaemonThreadPool threads =
        new DaemonThreadPool("target", limits.maxThreads(), limits.maxThreads());
    ClientConnector connector =
        new CountingConnector((long) MAX_HEADS_BETWEEN_PARTS * limits.maxHeaderBytes());
    connector.setSelectors(1);
    connector.setExecutor(threads);
    HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
    transport.setConnectionPoolFactory(this::newPool);
    HttpClient made = new HttpClient(transport);
    made.setExecutor(threads);
    made.setConnectTimeout(limits.connectTimeoutMs());
    made.setIdleTimeout(limits.idleTimeoutMs());
    made.setMaxRequestsQueuedPerDestination(MAX_WAITING_FOR_CONNECTION);
    made.setMaxRequestHeadersSize(limits.maxHeaderBytes());
    made.setMaxResponseHeadersSize(limits.maxHeaderBytes());
    made.setFollowRedirects(false);
    made.setUserAgentField(null);
    made.setDefaultRequestContentType(null);
    made.setHttpCookieStore(new HttpCookieStore.Empty());
    return made;
  }

  private ConnectionPool newPool(Destination destination) {
    InetSocketAddress address = addressOf(destination);
    return new TargetConnectionPool(
        destination, POOL_CAPACITY, () -> connectionLimits.maxConnections(address));
  }

  private static InetSocketAddress addressOf(Destination destination) {
    Origin.Address address = destination.getOrigin().getAddress();
    return new InetSocketAddress(address.getHost(), address.getPort());
  }

  @Override
  public void start() {
    try {
      client.start();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.INTERNAL, "the target client does not start", e);
    }
    client.getContentDecoderFactories().clear();
    ProtocolHandlers handlers = client.getProtocolHandlers();
    handlers.put(new RepeatedContinueHandler());
    handlers.remove(RedirectProtocolHandler.NAME);
    handlers.remove(WWWAuthenticationProtocolHandler.NAME);
    handlers.remove(ProxyAuthenticationProtocolHandler.NAME);
  }

  @Override
  public void stop() {
    try {
      client.stop();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.INTERNAL, "the target client does not stop", e);
    }
  }

  /**
   * Prepares one attempt.
   *
   * @param request what to send; not null
   * @param listener hears how it goes; not null
   * @return the attempt, not yet started
   */
  public TargetExchange prepare(TargetRequest request, TargetListener listener) {
    InetSocketAddress address = request.address();
    Request made = client.newRequest(address.getHostString(), address.getPort());
    made.scheme(SCHEME).method(request.method()).path(request.pathAndQuery());
    made.headers(fields -> fields.clear().add(request.headers()));
    made.idleTimeout(0, TimeUnit.MILLISECONDS);
    if (request.earlierAttempts() > 0) {
      made.tag(request.earlierAttempts());
    }
    if (request.body() != null) {
      made.body(request.body());
    }
    return new TargetExchange(made, listener, takesUnboundedAnswers);
  }

  /**
   * Opens connections ahead of need.
   *
   * @param address where the target listens; not null
   * @param count how many connections the pool shall hold at least
   */
  public void warm(InetSocketAddress address, int count) {
    Origin origin = new Origin(SCHEME, address.getHostString(), address.getPort());
    ConnectionPool pool = client.resolveDestination(origin).getConnectionPool();
    int missing = count - ((AbstractConnectionPool) pool).getConnectionCount();
    if (missing > 0) {
      pool.preCreateConnections(missing);
    }
  }
}
