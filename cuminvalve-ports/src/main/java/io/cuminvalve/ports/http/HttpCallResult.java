package io.cuminvalve.ports.http;

import org.eclipse.jetty.http.HttpFields;

/**
 * The result of an HTTP call.
 *
 * @param kind how the call ended; not null
 * @param status the status code; 0 unless ANSWERED
 * @param headers the response headers; not null, empty unless ANSWERED
 * @param body the response body; not null, empty unless ANSWERED
 * @since 0.1
 */
public record HttpCallResult(
    HttpCallResult.Kind kind, int status, HttpFields headers, byte[] body) {

  /** Status code of a successful call. */
  public static final int OK = 200;

  /** Status code of a successful call without a response body. */
  public static final int NO_CONTENT = 204;

  /** Status code of a call to a resource that does not exist. */
  public static final int NOT_FOUND = 404;

  /** Status code of a call that conflicts with the current state of the resource. */
  public static final int CONFLICT = 409;

  /** How a call ended. */
  public enum Kind {
    /** A complete response arrived. */
    ANSWERED,
    /** The connection was refused: nothing listens at the address and nothing was sent. */
    REFUSED,
    /** The call failed before the first byte was sent. */
    NOT_SENT,
    /** The call may have been sent, and the connection broke before a complete response arrived. */
    BROKEN,
    /** The call may have been sent, and no complete response arrived in time. */
    NO_ANSWER
  }

  /**
   * Returns the result of a call without a response.
   *
   * @param kind how it ended; not ANSWERED; not null
   * @return never null
   */
  public static HttpCallResult failed(Kind kind) {
    return new HttpCallResult(kind, 0, HttpFields.EMPTY, new byte[0]);
  }

  /**
   * Returns whether a complete response with the given status code arrived.
   *
   * @param expected the status code
   * @return false for any other result
   */
  public boolean hasStatus(int expected) {
    return kind == Kind.ANSWERED && status == expected;
  }

  /**
   * Returns whether the call certainly never reached the server.
   *
   * @return true if nothing was sent
   */
  public boolean isUnsent() {
    return kind == Kind.REFUSED || kind == Kind.NOT_SENT;
  }
}
