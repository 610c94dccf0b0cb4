package io.cuminvalve.admin;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.ManagedService;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.function.Supplier;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The admin port of a process.
 *
 * <p>Answers {@code /livez}, {@code /readyz} and {@code /metrics} to anybody, and the status page
 * at {@code /}. {@code /status} and the extra routes need the shared key.
 *
 * @since 0.1
 */
public final class AdminServer implements ManagedService {

  private static final int MAX_THREADS = 12;
  private static final int MIN_THREADS = 2;
  private static final int MAX_HEADER_BYTES = 8 * 1024;
  private static final long IDLE_TIMEOUT_MS = 30_000;

  private final Server server;
  private final ServerConnector connector;

  /**
   * Creates the server without starting it.
   *
   * @param settings where it listens and whom it lets in; not null
   * @param checks the conditions of readiness; not null
   * @param metrics the metrics to show; not null
   * @param status gives the status as a JSON document; not null
   * @param routes what else it answers; not null
   */
  public AdminServer(
      AdminSettings settings,
      List<ReadinessCheck> checks,
      PrometheusRegistry metrics,
      Supplier<String> status,
      List<AdminRoute> routes) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("admin");
    threads.setDaemon(true);
    this.server = new Server(threads);
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setRequestHeaderSize(MAX_HEADER_BYTES);
    this.connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
    connector.setHost(settings.bindHost());
    connector.setPort(settings.bindPort());
    connector.setIdleTimeout(IDLE_TIMEOUT_MS);
    server.addConnector(connector);
    server.setHandler(new AdminJettyHandler(settings.sharedKey(), checks, metrics, status, routes));
  }

  /**
   * Starts listening.
   *
   * @throws CodedException with code UNAVAILABLE if the port cannot be had
   */
  @Override
  public void start() {
    try {
      server.start();
    } catch (Exception failure) {
      throw new CodedException(
          ErrorCode.UNAVAILABLE, "admin port cannot be opened: " + failure, failure);
    }
  }

  /** Stops listening. Idempotent. */
  @Override
  public void stop() {
    try {
      server.stop();
    } catch (Exception failure) {
      throw new CodedException(ErrorCode.INTERNAL, "admin port cannot be closed", failure);
    }
  }

  /**
   * Returns the port that it listens on.
   *
   * @return the bound port; negative before the start
   */
  public int port() {
    return connector.getLocalPort();
  }
}
