package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.exchange.ExchangeProfile;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.quarantine.RequestIdentity;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.waiting.RequestTimes;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.router.caller.WatchedEndPoint;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A request of a caller that has been read completely.
 *
 * @param request the server's request; not null
 * @param response the server's response; not null
 * @param callback completes the exchange; not null
 * @param attemptId the caller's id for the request; empty if it sent none; not null
 * @param route the matching route; not null
 * @param service the service that the request is sent to; not null
 * @param key the key of the request; empty if the service has no keys; not null
 * @param identity identifies repetitions of the request; not null
 * @param headers the header fields to forward; not null
 * @param body the body; empty if there is none; not null
 * @param arrivedMs the earliest time at which the request may have arrived; milliseconds
 * @param deadlineMs the time by which it has to be answered; milliseconds
 * @param deadline the deadline by the clock that never runs behind the elapsed time; not null
 * @param workEnd the time until which a target may work on it; not after the deadline; not null
 * @param configurationVersion the version of the configuration that routed the request
 */
record CallerRequest(
    Request request,
    Response response,
    Callback callback,
    String attemptId,
    Route route,
    ServiceId service,
    OptionalInt key,
    RequestIdentity identity,
    HttpFields headers,
    BufferedBody body,
    long arrivedMs,
    long deadlineMs,
    UpperTime deadline,
    UpperTime workEnd,
    long configurationVersion) {

  /** Returns the properties that determine how the request is handled. */
  ExchangeProfile profile() {
    return new ExchangeProfile(
        route.idempotent(),
        key.isPresent(),
        Math.min(
            route.maxAttempts(), relayed().map(RelayedRequest::maxRuns).orElse(Integer.MAX_VALUE)),
        route.targetLatencyMs(),
        arrivedMs,
        deadlineMs);
  }

  /** Returns the number of targets on which it may have run before a peer forwarded it. */
  int earlierRuns() {
    return relayed().map(RelayedRequest::earlierRuns).orElse(0);
  }

  /** Returns the times by which a response is of use. */
  RequestTimes times() {
    return new RequestTimes(arrivedMs + route.targetLatencyMs(), deadlineMs);
  }

  /** Calls back once if the caller closes its connection before the response. */
  void watchCaller(Runnable onGone) {
    request.addFailureListener(failure -> onGone.run());
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    if (endPoint instanceof WatchedEndPoint watched) {
      watched.watch(onGone);
    }
  }

  /** Checks whether the caller's connection is open, even if its end has not been reported yet. */
  boolean isCallerPresent() {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    return endPoint instanceof WatchedEndPoint watched
        ? watched.isCallerPresent()
        : endPoint.isOpen();
  }

  /** Lets the response close the connection, unless later requests of it are in progress. */
  boolean claimLast() {
    return RequestInProgress.claimLast(request);
  }

  /** Returns what the gateway said that relays this request; empty if it is an own caller's. */
  Optional<RelayedRequest> relayed() {
    return RelayedRequest.of(request);
  }

  /** Returns the body to send; null if the caller declared none. */
  org.eclipse.jetty.client.Request.Content content() {
    boolean declared =
        request.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
            || request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    return declared
        ? new ByteBufferRequestContent(
            request.getHeaders().get(HttpHeader.CONTENT_TYPE), body.views())
        : null;
  }

  /** Returns the requested host name in lower case; empty if there is none. */
  String host() {
    return hostOf(request);
  }

  static String hostOf(Request request) {
    String host = Request.getServerName(request);
    return host == null ? "" : host.toLowerCase(Locale.ROOT);
  }

  /** Stops watching the caller's connection before the response is written. */
  void unwatchCaller() {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    if (endPoint instanceof WatchedEndPoint watched) {
      watched.unwatch();
    }
  }
}
