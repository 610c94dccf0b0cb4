package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.quarantine.RequestIdentity;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.router.caller.CallerEndPoint;
import java.util.Locale;
import java.util.OptionalInt;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A request of a caller, read whole.
 *
 * @param request the server's request; not null
 * @param response the server's response; not null
 * @param callback ends the exchange; not null
 * @param attemptId the caller's id for it; empty if it sent none; not null
 * @param route its route; not null
 * @param service where it goes; not null
 * @param key its key, if the service has keys; not null
 * @param identity by what it is recognised when it comes again; not null
 * @param headers the header fields to pass on; not null
 * @param body the body; empty if there is none; not null
 * @param arrivedMs the earliest time at which it may have arrived; milliseconds
 * @param deadlineMs by when it has to be answered; milliseconds
 * @param deadline the same by the clock that counts no less time than has passed; not null
 * @param configurationVersion the version of the configuration by which it was routed
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
    byte[] body,
    long arrivedMs,
    long deadlineMs,
    UpperTime deadline,
    long configurationVersion) {

  /** Calls back once if the caller closes its connection before the answer. */
  void watchCaller(Runnable onGone) {
    request.addFailureListener(failure -> onGone.run());
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    if (endPoint instanceof CallerEndPoint watched) {
      watched.watch(onGone);
    }
  }

  /** Looks whether the caller's connection is open, also if nobody has been told of its end yet. */
  boolean isCallerPresent() {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    return endPoint instanceof CallerEndPoint watched
        ? watched.isCallerPresent()
        : endPoint.isOpen();
  }

  /** Returns the host that the caller named, in lower case; empty if it named none. */
  String host() {
    return hostOf(request);
  }

  static String hostOf(Request request) {
    String host = Request.getServerName(request);
    return host == null ? "" : host.toLowerCase(Locale.ROOT);
  }

  /** Ends the watch, since the answer is about to be written. */
  void unwatchCaller() {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    if (endPoint instanceof CallerEndPoint watched) {
      watched.unwatch();
    }
  }
}
