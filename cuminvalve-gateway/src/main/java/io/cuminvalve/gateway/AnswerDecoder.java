package io.cuminvalve.gateway;

import io.cuminvalve.core.fleet.TargetSignals;
import org.eclipse.jetty.http.HttpFields;

/**
 * Reads the head of a target's answer, the only place where its header fields are interpreted.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface AnswerDecoder {

  /**
   * Reads the head of an answer.
   *
   * @param status the HTTP status
   * @param headers the header fields; not null
   * @return never null; odd values are reported, not thrown
   */
  TargetSignals decode(int status, HttpFields headers);
}
