package io.cuminvalve.ports.http;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.ManagedService;
import java.net.ConnectException;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;

/**
 * An HTTP client for small calls, each bounded in time and response size.
 *
 * <p>Thread-safe. Futures always complete normally, on a thread of the client.
 *
 * @since 0.1
 */
public final class BoundedHttpClient implements ManagedService {

  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

  /**
   * Maximum size of the body of a guarded call. Such calls are orders with short responses, and
   * many of them may be in progress at the same time.
   */
  private static final int MAX_GUARDED_BODY_BYTES = 64 * 1024;

  private static final int MAX_HEAD_BYTES = 16 * 1024;

  /** Room for what a response has besides its body, in heads of full size. */
  private static final int MAX_HEADS_PER_RESPONSE = 4;

  private static final int MAX_CONNECTIONS_PER_ADDRESS = 64;
  private static final int MAX_QUEUED_PER_ADDRESS = 1024;
  private static final int MAX_THREADS = 16;
  private static final int MIN_THREADS = 4;
  private static final long IDLE_TIMEOUT_MS = 30_000;

  private final HttpClient client;
  private final EarlierResponses earlierResponses = new EarlierResponses();

  /**
   * Creates a client without starting it.
   *
   * @param name the prefix of the thread names; not null
   * @param connectTimeoutMs timeout for opening a connection; milliseconds
   */
  public BoundedHttpClient(String name, long connectTimeoutMs) {
    this(name, connectTimeoutMs, IDLE_TIMEOUT_MS);
  }

  BoundedHttpClient(String name, long connectTimeoutMs, long idleTimeoutMs) {
    DaemonThreadPool threads = new DaemonThreadPool(name, MAX_THREADS, MIN_THREADS);
    ClientConnector connector = new AbortingConnector();
    connector.setSelectors(1);
    connector.setExecutor(threads);
    this.client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setExecutor(threads);
    client.setConnectTimeout(connectTimeoutMs);
    client.setIdleTimeout(idleTimeoutMs);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setMaxResponseHeadersSize(MAX_HEAD_BYTES);
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_ADDRESS);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_ADDRESS);
  }

  /** Starts the client. */
  @Override
  public void start() {
    try {
      client.start();
    } catch (Exception failure) {
      throw new CodedException(ErrorCode.INTERNAL, "HTTP client failed to start", failure);
    }
  }

  /** Stops the client; calls in flight end without a response. Idempotent. */
  @Override
  public void stop() {
    try {
      client.stop();
    } catch (Exception failure) {
      throw new CodedException(ErrorCode.INTERNAL, "HTTP client failed to stop", failure);
    }
  }

  /**
   * Makes a call without a body.
   *
   * @param method the HTTP method; not null
   * @param url the URL; not null
   * @param timeoutMs timeout of the whole call; milliseconds
   * @return never null
   */
  public CompletableFuture<HttpCallResult> call(String method, String url, long timeoutMs) {
    return send(client.newRequest(url).method(method), MAX_BODY_BYTES, timeoutMs);
  }

  /**
   * Makes a call with a body.
   *
   * @param method the HTTP method; not null
   * @param url the URL; not null
   * @param contentType the media type of the body; not null
   * @param body the body; not null
   * @param timeoutMs timeout of the whole call; milliseconds
   * @return never null
   */
  public CompletableFuture<HttpCallResult> call(
      String method, String url, String contentType, byte[] body, long timeoutMs) {
    return call(method, url, Map.of(), contentType, body, timeoutMs);
  }

  /**
   * Makes a call with headers and a body.
   *
   * @param method the HTTP method; not null
   * @param url the URL; not null
   * @param headers additional headers by name; not null
   * @param contentType the media type of the body; not null
   * @param body the body; not null
   * @param timeoutMs timeout of the whole call; milliseconds
   * @return never null
   */
  public CompletableFuture<HttpCallResult> call(
      String method,
      String url,
      Map<String, String> headers,
      String contentType,
      byte[] body,
      long timeoutMs) {
    return send(newRequest(method, url, headers, contentType, body), MAX_BODY_BYTES, timeoutMs);
  }

  /**
   * Makes a call that is sent, and whose response counts, only under the conditions of the call. A
   * response that does not count closes the connection, and the call ends as BROKEN.
   *
   * @param call what to send and under which conditions; not null
   * @return never null
   */
  public CompletableFuture<HttpCallResult> call(GuardedCall call) {
    Request request =
        newRequest(call.method(), call.url(), call.headers(), call.contentType(), call.body());
    request.onRequestBegin(begun -> abortUnless(begun, () -> maySend(call, begun)));
    request.onResponseHeaders(response -> abortUnlessExpected(response, call.responseCheck()));
    return send(request, MAX_GUARDED_BODY_BYTES, call.timeoutMs());
  }

  private static boolean maySend(GuardedCall call, Request request) {
    return (!call.knownConnectionOnly() || isOnKnownConnection(request))
        && call.mayBegin().getAsBoolean();
  }

  private void abortUnlessExpected(Response response, ResponseCheck check) {
    try {
      Set<Object> earlier = earlierResponses.of(response.getRequest().getConnection());
      if (!check.isExpected(response.getStatus(), response.getHeaders(), earlier)) {
        response.abort(new UnexpectedResponseException());
      }
    } catch (Throwable broken) {
      // Jetty ignores exceptions of this listener and would deliver the response.
      response.abort(broken);
      throw broken;
    }
  }

  private static void abortUnless(Request request, BooleanSupplier mayBegin) {
    try {
      if (!mayBegin.getAsBoolean()) {
        request.abort(new WithheldException());
      }
    } catch (Throwable broken) {
      // Jetty ignores exceptions of this listener and would send the request.
      request.abort(new WithheldException());
      throw broken;
    }
  }

  private static boolean isOnKnownConnection(Request request) {
    return request.getConnection() instanceof org.eclipse.jetty.io.Connection used
        && used.getMessagesIn() > 0;
  }

  private Request newRequest(
      String method, String url, Map<String, String> headers, String contentType, byte[] body) {
    Request request = client.newRequest(url).method(method);
    request.headers(fields -> headers.forEach(fields::put));
    return request.body(new BytesRequestContent(contentType, body));
  }

  /**
   * Makes a GET call, which must not change state. If the connection breaks, the call is repeated
   * once: the server may have closed a pooled connection while it was idle.
   *
   * @param url the URL; not null
   * @param timeoutMs timeout of each of the two calls; milliseconds
   * @return never null
   */
  public CompletableFuture<HttpCallResult> get(String url, long timeoutMs) {
    return call("GET", url, timeoutMs)
        .thenCompose(
            result ->
                result.kind() == HttpCallResult.Kind.BROKEN
                    ? call("GET", url, timeoutMs)
                    : CompletableFuture.completedFuture(result));
  }

  private CompletableFuture<HttpCallResult> send(
      Request request, int maxBodyBytes, long timeoutMs) {
    CompletableFuture<HttpCallResult> future = new CompletableFuture<>();
    AtomicBoolean begun = new AtomicBoolean();
    // A call that waits for its response is not idle: only its own timeout may end it.
    request
        .idleTimeout(0, TimeUnit.MILLISECONDS)
        .timeout(timeoutMs, TimeUnit.MILLISECONDS)
        .onRequestBegin(
            begin -> {
              begun.set(true);
              CountingEndPoint.restart(begin.getConnection(), maxResponseBytes(maxBodyBytes));
            })
        .send(
            new BufferingResponseListener(maxBodyBytes) {
              @Override
              public void onComplete(Result result) {
                future.complete(toCallResult(result, this, begun.get()));
              }
            });
    return future;
  }

  /** Chunks of one byte take six bytes on the wire. */
  private static long maxResponseBytes(int maxBodyBytes) {
    return 6L * maxBodyBytes + MAX_HEADS_PER_RESPONSE * MAX_HEAD_BYTES;
  }

  private static HttpCallResult toCallResult(
      Result result, BufferingResponseListener listener, boolean begun) {
    if (result.isSucceeded()) {
      byte[] body = listener.getContent() == null ? new byte[0] : listener.getContent();
      return new HttpCallResult(
          HttpCallResult.Kind.ANSWERED,
          result.getResponse().getStatus(),
          result.getResponse().getHeaders(),
          body);
    }
    if (isRefused(result.getFailure())) {
      return HttpCallResult.failed(HttpCallResult.Kind.REFUSED);
    }
    if (!begun || result.getFailure() instanceof WithheldException) {
      return HttpCallResult.failed(HttpCallResult.Kind.NOT_SENT);
    }
    boolean late = result.getFailure() instanceof TimeoutException;
    return HttpCallResult.failed(late ? HttpCallResult.Kind.NO_ANSWER : HttpCallResult.Kind.BROKEN);
  }

  private static boolean isRefused(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      String text = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
      if (cause instanceof ConnectException && text.contains("refused")) {
        return true;
      }
    }
    return false;
  }

  /** Aborts a request that the check before its first byte forbids; nothing was sent. */
  private static final class WithheldException extends RuntimeException {

    private static final long serialVersionUID = 1;

    WithheldException() {
      super("request aborted before its first byte was sent", null, false, false);
    }
  }

  /** Aborts a call whose connection brought a response that may belong to an earlier call. */
  private static final class UnexpectedResponseException extends RuntimeException {

    private static final long serialVersionUID = 1;

    UnexpectedResponseException() {
      super("the response may belong to an earlier call", null, false, false);
    }
  }
}
