package io.cuminvalve.gateway.traffic;

import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.content.ByteBufferContentSource;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes the final response to a caller.
 *
 * <p>Status 503 guarantees that the request did not run and never will; 502 and 504 guarantee
 * nothing.
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

  /** Relays the complete response of a target. */
  static void relay(
      Response response,
      int status,
      HttpFields headers,
      BufferedBody body,
      boolean closeConnection,
      Callback callback) {
    response.setStatus(status);
    response.getHeaders().add(headers);
    RelayedRequest.markOutcome(response, RelayOutcome.SERVED, 0);
    setConnectionClose(response, closeConnection);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length());
    Content.copy(new ByteBufferContentSource(body.views()), response, callback);
  }

  /** Writes a response without a body that comes from this gateway, not from a target. */
  static void writeEmpty(
      Response response,
      int status,
      long retryAfterMs,
      boolean closeConnection,
      Callback callback) {
    response.setStatus(status);
    if (retryAfterMs > 0) {
      String seconds = String.format(Locale.ROOT, "%.2f", retryAfterMs / MS_PER_SECOND);
      response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
    }
    RelayOutcome outcome =
        status == BAD_GATEWAY || status == GATEWAY_TIMEOUT
            ? RelayOutcome.FAILED
            : RelayOutcome.REFUSED;
    RelayedRequest.markOutcome(response, outcome, retryAfterMs);
    setConnectionClose(response, closeConnection);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 0);
    response.write(true, null, callback);
  }

  private static void setConnectionClose(Response response, boolean closeConnection) {
    if (closeConnection) {
      response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }
  }
}
