package io.cuminvalve.router.target;

import java.net.InetSocketAddress;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;

/**
 * One attempt to have a target run a request.
 *
 * @param address where the target listens; resolved, not null
 * @param method the HTTP method; not null
 * @param pathAndQuery the path with the query, as the caller sent it; not null
 * @param headers the header fields to send, without hop-by-hop fields; not null
 * @param body the body; null if there is none
 * @param earlierAttempts how many attempts with the same identifier were made at this address
 *     before; attempts with different numbers never share a connection; at least 0
 * @since 0.1
 */
public record TargetRequest(
    InetSocketAddress address,
    String method,
    String pathAndQuery,
    HttpFields headers,
    Request.Content body,
    int earlierAttempts) {

  /** Creates an attempt whose identifier no earlier attempt had. */
  public TargetRequest(
      InetSocketAddress address,
      String method,
      String pathAndQuery,
      HttpFields headers,
      Request.Content body) {
    this(address, method, pathAndQuery, headers, body, 0);
  }
}
