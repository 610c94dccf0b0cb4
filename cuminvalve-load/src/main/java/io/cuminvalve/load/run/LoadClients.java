package io.cuminvalve.load.run;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Makes HTTP clients fit for load.
 *
 * @since 0.1
 */
public final class LoadClients {

  private static final int CONNECTIONS_PER_ROUTER = 512;
  private static final int QUEUED_PER_ROUTER = 4_096;
  private static final int THREADS = 16;
  private static final long CONNECT_TIMEOUT_MS = 1_000;

  private LoadClients() {}

  /**
   * Starts a client.
   *
   * @return a started client that the caller stops
   */
  public static HttpClient start() {
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(1));
    QueuedThreadPool threads = new QueuedThreadPool(THREADS);
    threads.setName("load");
    threads.setDaemon(true);
    client.setExecutor(threads);
    client.setMaxConnectionsPerDestination(CONNECTIONS_PER_ROUTER);
    client.setMaxRequestsQueuedPerDestination(QUEUED_PER_ROUTER);
    client.setConnectTimeout(CONNECT_TIMEOUT_MS);
    client.setFollowRedirects(false);
    try {
      client.start();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot start the HTTP client", e);
    }
    return client;
  }

  /**
   * Stops a client.
   *
   * @param client the client; not null
   */
  public static void stop(HttpClient client) {
    try {
      client.stop();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot stop the HTTP client", e);
    }
  }
}
