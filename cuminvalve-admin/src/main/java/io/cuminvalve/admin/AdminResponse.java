package io.cuminvalve.admin;

import java.nio.charset.StandardCharsets;

/**
 * The answer to an operator's request.
 *
 * @param status the HTTP status
 * @param contentType the media type; not null
 * @param body the body; not null
 * @since 0.1
 */
public record AdminResponse(int status, String contentType, byte[] body) {

  /**
   * Returns an answer in JSON.
   *
   * @param status the HTTP status
   * @param json the document; not null
   * @return never null
   */
  public static AdminResponse json(int status, String json) {
    return new AdminResponse(status, "application/json", json.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns an answer in plain text.
   *
   * @param status the HTTP status
   * @param text the text; not null
   * @return never null
   */
  public static AdminResponse text(int status, String text) {
    return new AdminResponse(
        status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
  }
}
