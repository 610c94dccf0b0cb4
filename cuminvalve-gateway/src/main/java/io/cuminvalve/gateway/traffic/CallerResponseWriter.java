package io.cuminvalve.gateway.traffic;

import java.nio.ByteBuffer;
import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes the one final answer to a caller.
 *
 * <p>What a status promises: 503 says that the request has not run and never will; 502 and 504
 * promise nothing.
 */
final class CallerResponseWriter {

  static final int NOT_FOUND = 404;
  static final int TOO_LARGE = 413;
  static final int BAD_REQUEST = 400;
  static final int BAD_GATEWAY = 502;
  static final int UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;

  private static final double MS_PER_SECOND = 1000.0;

  private CallerResponseWriter() {}

  /** Passes a target's answer on, whole. */
  static void relay(
      Response response,
      int status,
      HttpFields headers,
      byte[] body,
      boolean closes,
      Callback callback) {
    response.setStatus(status);
    response.getHeaders().add(headers);
    closeIf(response, closes);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  /** Answers without a target. */
  static void own(
      Response response, int status, long retryAfterMs, boolean closes, Callback callback) {
    response.setStatus(status);
    if (retryAfterMs > 0) {
      String seconds = String.format(Locale.ROOT, "%.2f", retryAfterMs / MS_PER_SECOND);
      response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
    }
    closeIf(response, closes);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 0);
    response.write(true, null, callback);
  }

  private static void closeIf(Response response, boolean closes) {
    if (closes) {
      response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }
  }
}
