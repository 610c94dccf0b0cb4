package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.quarantine.RequestFingerprint;
import io.cuminvalve.core.quarantine.RequestIdentity;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.router.caller.CallerEndPoint;
import io.cuminvalve.router.caller.CallerHeaders;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Handles requests of callers: finds the route, reads the body and starts the exchange.
 *
 * <p>Without a configuration it responds with 503, never with 404, since the route may exist.
 */
final class GatewayHandler extends Handler.Abstract.NonBlocking {

  private static final long RETRY_AFTER_MS = 250;
  private static final int KEY_LIMIT = 65_536;

  /** Upper bound for the time since the arrival of a request; no caller waits this long. */
  private static final long MAX_CALLER_WAIT_MS = 3_600_000;

  private final ExchangeServices services;
  private final RandomGenerator random;
  private final StartupRequestBuffer startupBuffer;
  private final Set<EndPoint> busyEndPoints = ConcurrentHashMap.newKeySet();

  GatewayHandler(ExchangeServices services, RandomGenerator random) {
    this.services = services;
    this.random = random;
    this.startupBuffer = new StartupRequestBuffer(services.timers());
    services.state().onChange(this::onStateChange);
  }

  private void onStateChange() {
    if (services.state().current().configuration().isPresent()) {
      startupBuffer.onConfiguration();
    }
  }

  /** Returns the number of requests that have been read and not answered. */
  int inFlight() {
    return busyEndPoints.size();
  }

  /** Returns whether a request of a connection has been read and not answered. */
  boolean isBusy(EndPoint endPoint) {
    return busyEndPoints.contains(endPoint);
  }

  private static EndPoint endPointOf(Request request) {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    UpperTime arrived = earliestArrival(request);
    Optional<RoutingConfiguration> configuration = services.state().current().configuration();
    if (configuration.isPresent()) {
      route(request, response, callback, configuration.get(), arrived);
      return true;
    }
    Runnable refusal =
        () ->
            refuse(
                request, response, CallerResponseWriter.UNAVAILABLE, "no_configuration", callback);
    boolean held = startupBuffer.hold(() -> resume(request, response, callback, arrived), refusal);
    if (!held) {
      refusal.run();
    }
    return true;
  }

  /** Returns the earliest time at which the request may have reached this host. */
  private UpperTime earliestArrival(Request request) {
    UpperTime now = services.clock().upper();
    if (endPointOf(request) instanceof CallerEndPoint caller) {
      UpperTime arrived = caller.arrivedAfter(request.getBeginNanoTime());
      return arrived.latest(now.minusMs(MAX_CALLER_WAIT_MS));
    }
    return now;
  }

  private void resume(Request request, Response response, Callback callback, UpperTime arrived) {
    RoutingConfiguration configuration = services.state().current().configuration().orElseThrow();
    route(request, response, callback, configuration, arrived);
  }

  private void route(
      Request request,
      Response response,
      Callback callback,
      RoutingConfiguration configuration,
      UpperTime arrived) {
    Optional<Route> route =
        configuration.find(CallerRequest.hostOf(request), request.getHttpURI().getPath());
    if (route.isEmpty()) {
      refuseUnknown(request, response, callback);
      return;
    }
    if (services.clock().upper().sinceMs(arrived) >= timeLimitMs(request, route.get())) {
      refuse(request, response, CallerResponseWriter.UNAVAILABLE, "read_too_late", callback);
      return;
    }
    if (request.getLength() > configuration.bounds().maxBodyBytes()) {
      refuse(request, response, CallerResponseWriter.TOO_LARGE, "body_too_large", callback);
      return;
    }
    busyEndPoints.add(endPointOf(request));
    if (hasBody(request)) {
      readBody(request, response, callback, configuration, route.get(), arrived);
    } else {
      begin(request, response, callback, configuration, route.get(), arrived, BufferedBody.EMPTY);
    }
  }

  /** Responds with 404 only if the configuration is current: a newer one may have the route. */
  private void refuseUnknown(Request request, Response response, Callback callback) {
    if (services.state().isConfigurationCurrent(services.clock().upper())) {
      refuse(request, response, CallerResponseWriter.NOT_FOUND, "no_route", callback);
    } else {
      refuse(
          request, response, CallerResponseWriter.UNAVAILABLE, "configuration_outdated", callback);
    }
  }

  private static boolean hasBody(Request request) {
    return request.getLength() > 0 || request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
  }

  private void readBody(
      Request request,
      Response response,
      Callback callback,
      RoutingConfiguration configuration,
      Route route,
      UpperTime arrived) {
    long limit = Math.min(Integer.MAX_VALUE, configuration.bounds().maxBodyBytes());
    services
        .buffers()
        .readRequest(request, request.getLength(), limit)
        .whenComplete(
            (body, failure) -> {
              if (failure == null) {
                begin(request, response, callback, configuration, route, arrived, body);
              } else {
                busyEndPoints.remove(endPointOf(request));
                onUnreadBody(request, response, callback, failure);
              }
            });
  }

  private void onUnreadBody(
      Request request, Response response, Callback callback, Throwable failure) {
    if (!(failure instanceof BodyRefusedException refused)) {
      callback.failed(failure);
    } else if (refused.isTooLarge()) {
      refuse(request, response, CallerResponseWriter.TOO_LARGE, "body_too_large", callback);
    } else {
      refuse(request, response, CallerResponseWriter.UNAVAILABLE, "body_no_room", callback);
    }
  }

  private void begin(
      Request request,
      Response response,
      Callback callback,
      RoutingConfiguration configuration,
      Route route,
      UpperTime arrived,
      BufferedBody body) {
    ServiceId service = route.choose(random.nextDouble());
    String attemptId = request.getHeaders().get(services.headers().attemptId());
    OptionalInt key = OptionalInt.empty();
    if (configuration.isKeyed(service)) {
      key = keyOf(request);
      if (key.isEmpty()) {
        busyEndPoints.remove(endPointOf(request));
        body.release();
        refuse(request, response, CallerResponseWriter.BAD_REQUEST, "no_key", callback);
        return;
      }
    }
    long timeLimitMs = timeLimitMs(request, route);
    long arrivedMs = services.clock().nowMs() - services.clock().upper().sinceMs(arrived);
    CallerRequest call =
        new CallerRequest(
            request,
            response,
            callback,
            attemptId == null ? "" : attemptId,
            route,
            service,
            key,
            identityOf(request, key, body),
            CallerHeaders.passedOn(request.getHeaders()),
            body,
            arrivedMs,
            arrivedMs + timeLimitMs,
            arrived.plusMs(timeLimitMs),
            configuration.version());
    EndPoint endPoint = endPointOf(request);
    Runnable onEnded =
        () -> {
          busyEndPoints.remove(endPoint);
          body.release();
        };
    new GatewayExchange(services, call, onEnded).start();
  }

  private static RequestIdentity identityOf(Request request, OptionalInt key, BufferedBody body) {
    RequestFingerprint content =
        RequestFingerprint.of(
            request.getMethod(),
            CallerRequest.hostOf(request),
            request.getHttpURI().getPathQuery(),
            key,
            body.parts());
    return new RequestIdentity(content, content.by(Request.getRemoteAddr(request)));
  }

  private OptionalInt keyOf(Request request) {
    String text = request.getHeaders().get(services.headers().key());
    if (text == null) {
      return OptionalInt.empty();
    }
    try {
      int key = Integer.parseInt(text.trim());
      return key >= 0 && key < KEY_LIMIT ? OptionalInt.of(key) : OptionalInt.empty();
    } catch (NumberFormatException invalidNumber) {
      return OptionalInt.empty();
    }
  }

  /** Returns the time in milliseconds, from its arrival, in which a request has to be answered. */
  private long timeLimitMs(Request request, Route route) {
    return Math.min(route.timeoutMs(), callerTimeLimitMs(request, route));
  }

  private long callerTimeLimitMs(Request request, Route route) {
    String text = request.getHeaders().get(services.headers().deadlineMs());
    if (text == null) {
      return route.timeoutMs();
    }
    try {
      return Math.max(1, Long.parseLong(text.trim()));
    } catch (NumberFormatException invalidNumber) {
      return route.timeoutMs();
    }
  }

  private void refuse(
      Request request, Response response, int status, String reason, Callback callback) {
    services
        .log()
        .write(
            "request_refused",
            "id={} host={} path={} status={} why={}",
            request.getHeaders().get(services.headers().attemptId()),
            CallerRequest.hostOf(request),
            request.getHttpURI().getPath(),
            status,
            reason);
    long retryAfterMs = status == CallerResponseWriter.UNAVAILABLE ? RETRY_AFTER_MS : 0;
    boolean closeConnection = services.stopping().getAsBoolean();
    CallerResponseWriter.writeEmpty(response, status, retryAfterMs, closeConnection, callback);
  }
}
