package io.cuminvalve.wire.internal;

import java.net.ConnectException;
import java.util.Locale;

/**
 * The reason why a connection was closed.
 *
 * @param kind the kind; not null
 * @param detail a description for operators; not null
 * @since 0.1
 */
public record CloseReason(CloseReason.Kind kind, String detail) {

  /** The kinds of reasons. */
  public enum Kind {
    /** The connection was refused: no process listens. */
    REFUSED,
    /** A timeout expired, or the host is unreachable. */
    SILENT,
    /** The connection broke or was closed by the peer. */
    LOST,
    /** The peer violated the protocol or does not have the shared key. */
    PROTOCOL,
    /** This process closed the connection. */
    LOCAL
  }

  /**
   * Classifies a failed connection attempt.
   *
   * @param failure the failure; not null
   * @return never null
   */
  public static CloseReason ofConnectFailure(Exception failure) {
    String text = String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT);
    // ConnectException has several causes; only a refusal proves that no process listens.
    boolean refused = failure instanceof ConnectException && text.contains("refused");
    return new CloseReason(refused ? Kind.REFUSED : Kind.SILENT, failure.toString());
  }
}
