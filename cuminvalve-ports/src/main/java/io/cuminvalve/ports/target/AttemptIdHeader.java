package io.cuminvalve.ports.target;

import org.eclipse.jetty.http.HttpFields;

/**
 * The header that identifies one attempt or order; a target repeats it in the response.
 *
 * @since 0.2
 */
public final class AttemptIdHeader {

  /** The name of the header in requests and responses. */
  public static final String NAME = "Cuminvalve-Attempt-Id";

  private AttemptIdHeader() {}

  /**
   * Returns whether a response can be the one to an attempt. Targets that never respond twice or
   * late may leave the id out.
   *
   * @param response the headers of the response; not null
   * @param attemptId the id that was sent; not null
   * @return false if the response names another attempt
   */
  public static boolean allows(HttpFields response, String attemptId) {
    String repeatedId = response.get(NAME);
    return repeatedId == null || repeatedId.equals(attemptId);
  }
}
