package io.cuminvalve.gateway;

import io.cuminvalve.core.fleet.TargetSignals;
import org.eclipse.jetty.http.HttpFields;

/**
 * Decodes the head of a target's response. Only implementations of this interface interpret its
 * header fields.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface AnswerDecoder {

  /**
   * Decodes the head of a response.
   *
   * @param status the HTTP status
   * @param headers the header fields; not null
   * @return never null; invalid values are reported in the result, not thrown
   */
  TargetSignals decode(int status, HttpFields headers);
}
