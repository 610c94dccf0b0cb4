package io.cuminvalve.load.profile;

import io.cuminvalve.core.rule.RequestClass;

/**
 * One kind of operation of a profile.
 *
 * @param name as in the rules; not null
 * @param method the HTTP method; not null
 * @param pathTemplate the path, with {@code {key}} where the key stands; not null
 * @param keyHeader the header that holds the key, or null if it stands in the path
 * @param repeatable false if a second execution does harm
 * @param requestClass how urgent it is; not null
 * @param weight its share among the kinds of a profile; at least 1
 * @param bodyBytes the length of the request's body
 * @param answerBytes the length of the answer that is asked for
 * @param timeoutMs the deadline in milliseconds
 * @since 0.1
 */
public record OperationKind(
    String name,
    String method,
    String pathTemplate,
    String keyHeader,
    boolean repeatable,
    RequestClass requestClass,
    int weight,
    int bodyBytes,
    int answerBytes,
    long timeoutMs) {

  private static final String KEY_PLACE = "{key}";

  /**
   * Returns the path for a key.
   *
   * @param key the key; not null
   * @return the path
   */
  public String path(String key) {
    return pathTemplate.replace(KEY_PLACE, key);
  }
}
