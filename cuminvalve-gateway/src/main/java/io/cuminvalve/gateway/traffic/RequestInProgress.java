package io.cuminvalve.gateway.traffic;

import io.cuminvalve.kernel.UpperTime;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A request of a caller from the moment at which the server hands it over until its response has
 * been written.
 */
final class RequestInProgress {

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final UpperTime arrived;
  private volatile RequestPhase phase = RequestPhase.ANSWERING;

  /**
   * Creates a request in progress.
   *
   * @param all the requests in progress, to which this one belongs until it ends; not null
   * @param request the server's request; not null
   * @param response the server's response; not null
   * @param callback completes the request at the server; not null
   * @param arrived the earliest time at which the request may have arrived; not null
   */
  RequestInProgress(
      RequestsInProgress all,
      Request request,
      Response response,
      Callback callback,
      UpperTime arrived) {
    this.request = request;
    this.response = response;
    this.callback = Callback.from(() -> all.remove(this), callback);
    this.arrived = arrived;
  }

  Request request() {
    return request;
  }

  Response response() {
    return response;
  }

  /** Returns the callback that completes the request; it is in progress until then. */
  Callback callback() {
    return callback;
  }

  UpperTime arrived() {
    return arrived;
  }

  /** Returns the connection of the request. */
  EndPoint endPoint() {
    return endPointOf(request);
  }

  static EndPoint endPointOf(Request request) {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }

  RequestPhase phase() {
    return phase;
  }

  void enter(RequestPhase next) {
    phase = next;
  }
}
