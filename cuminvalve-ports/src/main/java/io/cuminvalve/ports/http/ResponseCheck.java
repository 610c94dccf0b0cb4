package io.cuminvalve.ports.http;

import java.util.Set;
import org.eclipse.jetty.http.HttpFields;

/**
 * Decides whether a response can be the one to a call.
 *
 * <p>A faulty server may send a response a second time, in place of the response to a later call on
 * the same connection. Where responses do not name their call, only what earlier responses on the
 * connection said can reveal that.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface ResponseCheck {

  /**
   * Checks a response as soon as its headers have been read.
   *
   * @param status the status code
   * @param headers the response headers; not null
   * @param earlier what this check has added for earlier responses on the connection; may be added
   *     to; not null
   * @return false if the response may belong to an earlier call; its connection is then closed
   */
  boolean isExpected(int status, HttpFields headers, Set<Object> earlier);
}
