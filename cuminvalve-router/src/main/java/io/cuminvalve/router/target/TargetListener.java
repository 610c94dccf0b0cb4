package io.cuminvalve.router.target;

import org.eclipse.jetty.http.HttpFields;

/**
 * Hears how one attempt goes.
 *
 * <p>Either {@link #onAnswer} or {@link #onFailure} is called once, then {@link #onReleased} once.
 * Calls come from traffic threads and must not block.
 *
 * @since 0.1
 */
public interface TargetListener {

  /**
   * Decides, once a connection is at hand and before any byte is written, whether the request goes.
   *
   * @param headers the header fields about to be written; may be changed; not null
   * @return false to give the attempt up; then nothing is written
   */
  boolean onConnection(HttpFields.Mutable headers);

  /**
   * The target began to answer.
   *
   * @param answer the head and the body's source; not null
   */
  void onAnswer(TargetAnswer answer);

  /**
   * No answer will come.
   *
   * @param handedOver whether any byte of the request may have reached a connection
   * @param cause the reason; not null
   */
  void onFailure(boolean handedOver, Throwable cause);

  /** The connection is back in its pool or closed: the target's slot is free. */
  void onReleased();
}
