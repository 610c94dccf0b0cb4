package io.cuminvalve.admin;

import java.util.Map;
import java.util.Optional;

/**
 * An operator's request.
 *
 * @param method the HTTP method, upper case; not null
 * @param path the decoded path; not null
 * @param parameters the first value of each query parameter; not null
 * @param body the body; not null, may be empty
 * @since 0.1
 */
public record AdminRequest(
    String method, String path, Map<String, String> parameters, byte[] body) {

  /**
   * Returns a query parameter.
   *
   * @param name its name; not null
   * @return empty if it is missing
   */
  public Optional<String> parameter(String name) {
    return Optional.ofNullable(parameters.get(name));
  }
}
