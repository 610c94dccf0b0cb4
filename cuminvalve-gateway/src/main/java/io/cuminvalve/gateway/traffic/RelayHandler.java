package io.cuminvalve.gateway.traffic;

import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.observe.RequestMetrics;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Admits requests that peers without a path to the targets relay, on a port of their own; passes
 * requests on other ports on.
 *
 * <p>Admitted ones are handled like requests of own callers. Their number is bounded, so that own
 * callers are not starved.
 */
final class RelayHandler extends Handler.Wrapper {

  /** Relayed requests in progress; further ones are refused at once, and go to other peers. */
  static final int MAX_IN_PROGRESS = 64;

  private static final int FORBIDDEN = 403;
  private static final long RETRY_AFTER_MS = 250;

  private final Connector relayConnector;
  private final RelayToken token;
  private final BooleanSupplier ready;
  private final DecisionLog log;
  private final RequestMetrics metrics;
  private final AtomicInteger inProgress = new AtomicInteger();

  RelayHandler(
      Connector relayConnector,
      RelayToken token,
      BooleanSupplier ready,
      DecisionLog log,
      RequestMetrics metrics,
      Handler traffic) {
    super(traffic);
    this.relayConnector = relayConnector;
    this.token = token;
    this.ready = ready;
    this.log = log;
    this.metrics = metrics;
  }

  /** Returns the number of relayed requests in progress. */
  int inProgress() {
    return inProgress.get();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    if (request.getConnectionMetaData().getConnector() != relayConnector) {
      return super.handle(request, response, callback);
    }
    Optional<RelayedRequest> relayed = RelayedRequest.read(request.getHeaders());
    if (!token.matches(request.getHeaders().get(RelayHeaders.TOKEN)) || relayed.isEmpty()) {
      logRefusal(request, "not_admitted");
      metrics.onRelayed("not_admitted");
      CallerResponseWriter.writeEmpty(response, FORBIDDEN, 0, true, callback);
      return true;
    }
    relayed.get().attachTo(request);
    if (!ready.getAsBoolean()) {
      return refuse(request, response, callback, "not_ready");
    }
    if (inProgress.incrementAndGet() > MAX_IN_PROGRESS) {
      inProgress.decrementAndGet();
      return refuse(request, response, callback, "too_many");
    }
    return super.handle(request, response, new RelayedCallback(response, callback));
  }

  private boolean refuse(Request request, Response response, Callback callback, String reason) {
    logRefusal(request, reason);
    metrics.onRelayed(RelayOutcome.UNUSABLE.label());
    RelayedRequest.markOutcome(response, RelayOutcome.UNUSABLE, RETRY_AFTER_MS);
    CallerResponseWriter.writeEmpty(
        response, CallerResponseWriter.UNAVAILABLE, RETRY_AFTER_MS, false, callback);
    return true;
  }

  private void logRefusal(Request request, String reason) {
    log.write(
        "relay_refused",
        "id={} peer={} why={}",
        request.getHeaders().get(RelayHeaders.ID),
        Request.getRemoteAddr(request),
        reason);
  }

  /** Counts the end of a request while its response can still be read. */
  private final class RelayedCallback extends Callback.Nested {

    private final Response response;

    RelayedCallback(Response response, Callback callback) {
      super(callback);
      this.response = response;
    }

    @Override
    public void succeeded() {
      String outcome = response.getHeaders().get(RelayHeaders.OUTCOME);
      onEnded(RelayOutcome.of(outcome).map(RelayOutcome::label).orElse("unknown"));
      super.succeeded();
    }

    @Override
    public void failed(Throwable cause) {
      onEnded("abandoned");
      super.failed(cause);
    }

    private void onEnded(String outcome) {
      inProgress.decrementAndGet();
      metrics.onRelayed(outcome);
    }
  }
}
