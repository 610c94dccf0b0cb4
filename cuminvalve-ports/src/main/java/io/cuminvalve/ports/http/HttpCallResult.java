package io.cuminvalve.ports.http;

import org.eclipse.jetty.http.HttpFields;

/**
 * How an HTTP call ended.
 *
 * @param kind how; not null
 * @param status the status; 0 unless answered
 * @param headers the header fields; not null, empty unless answered
 * @param body the body; not null, empty unless answered
 * @since 0.1
 */
public record HttpCallResult(
    HttpCallResult.Kind kind, int status, HttpFields headers, byte[] body) {

  /** The status of a call that did what was asked. */
  public static final int OK = 200;

  /** The status of a call that did what was asked and has nothing to show. */
  public static final int NO_CONTENT = 204;

  /** The status of a call that concerns something that is not there. */
  public static final int NOT_FOUND = 404;

  /** The status of a call that was refused because of the state it met. */
  public static final int CONFLICT = 409;

  /** The ways in which a call can end. */
  public enum Kind {
    /** A whole answer arrived. */
    ANSWERED,
    /** The connection was refused: nothing listens there and nothing was sent. */
    REFUSED,
    /** The call failed before the first byte was sent. */
    NOT_SENT,
    /** The call may have been sent, and the connection broke before a whole answer arrived. */
    BROKEN,
    /** The call may have been sent, and no whole answer arrived in time. */
    NO_ANSWER
  }

  /**
   * Returns the end of a call without an answer.
   *
   * @param kind how it ended; not ANSWERED; not null
   * @return never null
   */
  public static HttpCallResult failed(Kind kind) {
    return new HttpCallResult(kind, 0, HttpFields.EMPTY, new byte[0]);
  }

  /**
   * Tells whether a whole answer with a given status arrived.
   *
   * @param wanted the status
   * @return false for any other end
   */
  public boolean hasStatus(int wanted) {
    return kind == Kind.ANSWERED && status == wanted;
  }

  /**
   * Tells whether the other side certainly never saw the call.
   *
   * @return true if nothing was sent
   */
  public boolean isUnsent() {
    return kind == Kind.REFUSED || kind == Kind.NOT_SENT;
  }
}
