package io.cuminvalve.router.caller;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A request as the server hands it over.
 *
 * @param request the request
 * @param response its answer
 * @param callback ends the exchange with the caller
 * @param keptBody the whole body if it was read ahead; null if it was not
 */
record CallerCall(Request request, Response response, Callback callback, byte[] keptBody) {

  /** Returns the body as attempts send it. */
  RequestBody body(Runnable onConsumed, Runnable onEnded) {
    if (keptBody != null && keptBody.length > 0) {
      return RequestBody.kept(keptBody, request.getHeaders().get(HttpHeader.CONTENT_TYPE));
    }
    if (!hasBody()) {
      return RequestBody.none();
    }
    return RequestBody.streamed(new StreamedBody(request, onConsumed, onEnded));
  }

  /** Tells whether the head announces a body. */
  boolean hasBody() {
    return request.getLength() > 0 || request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
  }

  /** Returns the same call with its whole body. */
  CallerCall withKeptBody(byte[] bytes) {
    return new CallerCall(request, response, callback, bytes);
  }

  /** Returns the same call; a task runs once the exchange with the caller is over. */
  CallerCall thenRun(Runnable task) {
    return new CallerCall(request, response, Callback.from(callback, task), keptBody);
  }

  /** Watches the connection of an HTTP/1.1 caller that sent its whole request. */
  void watch(Runnable onGone) {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    if (isHttp1() && endPoint instanceof CallerEndPoint watched) {
      watched.watch(onGone);
    }
  }

  /** Ends the watch. */
  void unwatch() {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    if (isHttp1() && endPoint instanceof CallerEndPoint watched) {
      watched.unwatch();
    }
  }

  /** Tells whether requests follow each other on the connection. */
  boolean isHttp1() {
    HttpVersion version = request.getConnectionMetaData().getHttpVersion();
    return version.getVersion() <= HttpVersion.HTTP_1_1.getVersion();
  }
}
