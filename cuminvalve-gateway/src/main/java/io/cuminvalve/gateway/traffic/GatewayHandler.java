package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.quarantine.RequestFingerprint;
import io.cuminvalve.core.quarantine.RequestIdentity;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.router.caller.CallerHeaders;
import io.cuminvalve.router.caller.WatchedEndPoint;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
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
  private static final String STOPPING = "stopping";
  private static final int KEY_LIMIT = 65_536;

  /** Upper bound for the time since the arrival of a request; no caller waits this long. */
  private static final long MAX_CALLER_WAIT_MS = 3_600_000;

  private final ExchangeServices services;
  private final RandomGenerator random;
  private final StartupRequestBuffer startupBuffer;
  private final RequestsInProgress requests = new RequestsInProgress();

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
    return requests.size();
  }

  /** Returns how many requests without a response are in each phase, for the log. */
  String inFlightByPhase() {
    return requests.summary();
  }

  /** Admits no more requests if there is none. Returns whether none is admitted from now on. */
  boolean closeIfIdle() {
    return requests.closeIfEmpty();
  }

  /** Admits no more requests, and ends those in progress with responses of this gateway. */
  void endRequests() {
    requests.close();
    requests.endAll();
  }

  /** Admits no more requests of a connection without one. Returns whether it may be closed now. */
  boolean claimIdle(EndPoint connection) {
    return requests.claimIdle(connection);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    RequestInProgress inProgress =
        new RequestInProgress(requests, request, response, callback, earliestArrival(request));
    inProgress.enter(RequestPhase.ROUTING, () -> refuseAtStopLimit(inProgress));
    boolean admitted = requests.add(inProgress);
    Optional<RoutingConfiguration> configuration = services.state().current().configuration();
    if (!admitted) {
      refuse(inProgress, CallerResponseWriter.UNAVAILABLE, STOPPING);
    } else if (configuration.isPresent()) {
      route(inProgress, configuration.get());
    } else {
      hold(inProgress);
    }
    return true;
  }

  private void hold(RequestInProgress inProgress) {
    Runnable refusal =
        () -> refuse(inProgress, CallerResponseWriter.UNAVAILABLE, "no_configuration");
    inProgress.enter(RequestPhase.HELD);
    if (!startupBuffer.hold(() -> resume(inProgress), refusal)) {
      refusal.run();
    }
  }

  /** Returns the earliest time at which the request may have reached this host. */
  private UpperTime earliestArrival(Request request) {
    UpperTime now = services.clock().upper();
    if (RequestInProgress.placeOf(request) instanceof WatchedEndPoint caller) {
      UpperTime arrived = caller.arrivedAfter(request.getBeginNanoTime());
      return arrived.latest(now.minusMs(MAX_CALLER_WAIT_MS));
    }
    return now;
  }

  private void resume(RequestInProgress inProgress) {
    route(inProgress, services.state().current().configuration().orElseThrow());
  }

  private void route(RequestInProgress inProgress, RoutingConfiguration configuration) {
    Request request = inProgress.request();
    Optional<Route> route =
        configuration.find(CallerRequest.hostOf(request), request.getHttpURI().getPath());
    if (route.isEmpty()) {
      refuseUnknown(inProgress);
      return;
    }
    UpperTime deadline = inProgress.arrived().plusMs(timeLimitMs(request, route.get()));
    if (services.clock().upper().sinceMs(deadline) >= 0) {
      refuse(inProgress, CallerResponseWriter.UNAVAILABLE, "read_too_late");
      return;
    }
    if (request.getLength() > configuration.bounds().maxBodyBytes()) {
      refuse(inProgress, CallerResponseWriter.TOO_LARGE, "body_too_large");
      return;
    }
    if (!services.stop().admits(deadline)
        && !services.relay().mayTake(request, deadline, route.get(), services.stop())) {
      refuse(inProgress, CallerResponseWriter.UNAVAILABLE, STOPPING);
      return;
    }
    logIfStopping(inProgress, deadline);
    if (hasBody(request)) {
      readBody(inProgress, configuration, route.get());
    } else {
      begin(inProgress, configuration, route.get(), BufferedBody.EMPTY);
    }
  }

  private void logIfStopping(RequestInProgress inProgress, UpperTime deadline) {
    if (!services.stop().isStopping()) {
      return;
    }
    long connectionAgeMs = System.currentTimeMillis() - inProgress.endPoint().getCreatedTimeStamp();
    services
        .log()
        .write(
            "request_taken_while_stopping",
            "id={} since_stop_ms={} time_left_ms={} connection_age_ms={}",
            inProgress.request().getHeaders().get(services.headers().attemptId()),
            services.stop().sinceMs(),
            deadline.sinceMs(services.clock().upper()),
            connectionAgeMs);
  }

  /** Responds with 404 only if the configuration is current: a newer one may have the route. */
  private void refuseUnknown(RequestInProgress inProgress) {
    if (services.state().isConfigurationCurrent(services.clock().upper())) {
      refuse(inProgress, CallerResponseWriter.NOT_FOUND, "no_route");
    } else {
      refuse(inProgress, CallerResponseWriter.UNAVAILABLE, "configuration_outdated");
    }
  }

  private static boolean hasBody(Request request) {
    return request.getLength() > 0 || request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
  }

  private void readBody(
      RequestInProgress inProgress, RoutingConfiguration configuration, Route route) {
    long limit = Math.min(Integer.MAX_VALUE, configuration.bounds().maxBodyBytes());
    if (!inProgress.enter(RequestPhase.READING)) {
      return;
    }
    Request request = inProgress.request();
    CompletableFuture<BufferedBody> reading =
        services.buffers().readRequest(request, request.getLength(), limit);
    inProgress.keep(reading);
    reading.whenComplete(
        (body, failure) -> {
          if (failure == null) {
            begin(inProgress, configuration, route, body);
          } else {
            onUnreadBody(inProgress, failure);
          }
        });
  }

  private void onUnreadBody(RequestInProgress inProgress, Throwable failure) {
    if (!(failure instanceof BodyRefusedException refused)) {
      if (inProgress.enterAnswering()) {
        inProgress.callback().failed(failure);
      }
    } else if (refused.isTooLarge()) {
      refuse(inProgress, CallerResponseWriter.TOO_LARGE, "body_too_large");
    } else {
      refuse(inProgress, CallerResponseWriter.UNAVAILABLE, "body_no_room");
    }
  }

  private void begin(
      RequestInProgress inProgress,
      RoutingConfiguration configuration,
      Route route,
      BufferedBody body) {
    Request request = inProgress.request();
    Optional<RelayedRequest> relayed = RelayedRequest.of(request);
    ServiceId service =
        relayed
            .flatMap(known -> known.serviceOf(route))
            .orElseGet(() -> route.choose(random.nextDouble()));
    String attemptId = request.getHeaders().get(services.headers().attemptId());
    OptionalInt key = OptionalInt.empty();
    if (configuration.isKeyed(service)) {
      key = keyOf(request);
      if (key.isEmpty()) {
        refuse(inProgress, CallerResponseWriter.BAD_REQUEST, "no_key");
        return;
      }
    }
    UpperTime arrived = inProgress.arrived();
    long timeLimitMs = timeLimitMs(request, route);
    long arrivedMs = services.clock().nowMs() - services.clock().upper().sinceMs(arrived);
    CallerRequest call =
        new CallerRequest(
            request,
            inProgress.response(),
            inProgress.callback(),
            attemptId == null ? "" : attemptId,
            route,
            service,
            key,
            identityOf(request, relayed, key, body),
            CallerHeaders.passedOn(request.getHeaders()),
            body,
            arrivedMs - relayed.map(RelayedRequest::ageMs).orElse(0L),
            arrivedMs + timeLimitMs,
            arrived.plusMs(timeLimitMs),
            arrived.plusMs(Math.min(timeLimitMs, relayedWorkMs(relayed))),
            configuration.version());
    GatewayExchange exchange = new GatewayExchange(services, call, inProgress::end);
    if (inProgress.enter(RequestPhase.FORWARDING, exchange::onStopLimit)) {
      exchange.start();
    }
  }

  private static long relayedWorkMs(Optional<RelayedRequest> relayed) {
    return relayed.map(RelayedRequest::workMs).orElse(OptionalLong.empty()).orElse(Long.MAX_VALUE);
  }

  private static RequestIdentity identityOf(
      Request request, Optional<RelayedRequest> relayed, OptionalInt key, BufferedBody body) {
    RequestFingerprint content =
        RequestFingerprint.of(
            request.getMethod(),
            CallerRequest.hostOf(request),
            request.getHttpURI().getPathQuery(),
            key,
            body.parts());
    String caller =
        relayed.map(RelayedRequest::caller).orElseGet(() -> Request.getRemoteAddr(request));
    return new RequestIdentity(content, content.by(caller));
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

  private void refuse(RequestInProgress inProgress, int status, String reason) {
    if (inProgress.enterAnswering()) {
      writeRefusal(inProgress, status, reason);
    }
  }

  private void refuseAtStopLimit(RequestInProgress inProgress) {
    writeRefusal(inProgress, CallerResponseWriter.UNAVAILABLE, "stop_limit");
  }

  private void writeRefusal(RequestInProgress inProgress, int status, String reason) {
    Request request = inProgress.request();
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
    boolean closeConnection = services.stop().isStopping() && RequestInProgress.claimLast(request);
    CallerResponseWriter.writeEmpty(
        inProgress.response(), status, retryAfterMs, closeConnection, inProgress.callback());
  }
}
