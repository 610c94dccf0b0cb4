package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.quarantine.RequestIdentity;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.router.caller.CallerEndPoint;
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
 * @param arrivedMs when its head was read; milliseconds
 * @param deadlineMs by when it has to be answered; milliseconds
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
    long deadlineMs) {

  /** Calls back once if the caller closes its connection before the answer. */
  void watchCaller(Runnable onGone) {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    if (endPoint instanceof CallerEndPoint watched) {
      watched.watch(onGone);
    }
    request.addFailureListener(failure -> onGone.run());
  }

  /** Ends the watch, since the answer is about to be written. */
  void unwatchCaller() {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    if (endPoint instanceof CallerEndPoint watched) {
      watched.unwatch();
    }
  }
}
