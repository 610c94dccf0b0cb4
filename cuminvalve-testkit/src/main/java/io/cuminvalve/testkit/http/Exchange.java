package io.cuminvalve.testkit.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * One request whose body has arrived, and the way to answer it, now or later, on any thread.
 *
 * @since 0.1
 */
public final class Exchange {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final byte[] body;
  private final long bodyLength;

  Exchange(Request request, Response response, Callback callback, byte[] body, long bodyLength) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.body = body;
    this.bodyLength = bodyLength;
  }

  /**
   * Returns the method.
   *
   * @return upper case
   */
  public String method() {
    return request.getMethod();
  }

  /**
   * Returns the decoded path without the query.
   *
   * @return starts with a slash
   */
  public String path() {
    return Request.getPathInContext(request);
  }

  /**
   * Returns a query parameter.
   *
   * @param name its name; not null
   * @param fallback the value if it is absent
   * @return the value
   */
  public String query(String name, String fallback) {
    Fields fields = Request.extractQueryParameters(request);
    String value = fields.getValue(name);
    return value == null ? fallback : value;
  }

  /**
   * Returns a query parameter as a number.
   *
   * @param name its name; not null
   * @param fallback the value if it is absent
   * @return the value
   */
  public long queryNumber(String name, long fallback) {
    return Long.parseLong(query(name, Long.toString(fallback)));
  }

  /**
   * Returns a header.
   *
   * @param name its name; not null
   * @return the value, or null if it is absent
   */
  public String header(String name) {
    return request.getHeaders().get(name);
  }

  /**
   * Returns a header as a number.
   *
   * @param name its name; not null
   * @param fallback the value if it is absent
   * @return the value
   */
  public long headerNumber(String name, long fallback) {
    String value = header(name);
    return value == null ? fallback : Long.parseLong(value);
  }

  /**
   * Returns the start of the body.
   *
   * @return at most {@link HttpStandIn#MAX_KEPT_BODY_BYTES} bytes
   */
  public byte[] body() {
    return body.clone();
  }

  /**
   * Returns the length of the whole body.
   *
   * @return in bytes
   */
  public long bodyLength() {
    return bodyLength;
  }

  /**
   * Reads the body as JSON.
   *
   * @return the root; never null
   */
  public JsonNode json() {
    try {
      return JSON.readTree(body);
    } catch (IOException e) {
      throw new CodedException(ErrorCode.INVALID_INPUT, "body is no JSON", e);
    }
  }

  /**
   * Sets a header of the answer.
   *
   * @param name its name; not null
   * @param value its value
   * @return this exchange
   */
  public Exchange put(String name, Object value) {
    response.getHeaders().put(name, String.valueOf(value));
    return this;
  }

  /**
   * Answers without a body.
   *
   * @param status the HTTP status
   */
  public void answer(int status) {
    answer(status, new byte[0]);
  }

  /**
   * Answers with a body.
   *
   * @param status the HTTP status
   * @param content the body; not null
   */
  public void answer(int status, byte[] content) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
    response.write(true, ByteBuffer.wrap(content), callback);
  }

  /**
   * Answers with JSON.
   *
   * @param status the HTTP status
   * @param value anything that Jackson can write
   */
  public void answerJson(int status, Object value) {
    put("Content-Type", "application/json");
    answer(status, toJson(value));
  }

  private static byte[] toJson(Object value) {
    try {
      return JSON.writeValueAsString(value).getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot write JSON", e);
    }
  }

  /**
   * Answers with only the first half of a body, then closes the connection.
   *
   * @param status the HTTP status
   * @param content the whole body; not null
   */
  public void answerCut(int status, byte[] content) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length);
    ByteBuffer half = ByteBuffer.wrap(content, 0, content.length / 2);
    response.write(false, half, Callback.from(this::drop));
  }

  /** Closes the connection without an answer. */
  public void drop() {
    request.getConnectionMetaData().getConnection().getEndPoint().close();
    callback.failed(new EofException("dropped by a fault switch"));
  }
}
