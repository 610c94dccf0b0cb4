package io.cuminvalve.ports.http;

import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * A call with the conditions under which it is sent and its response counts.
 *
 * @param method the HTTP method; not null
 * @param url the URL; not null
 * @param headers additional headers by name; not null
 * @param contentType the media type of the body; not null
 * @param body the body; not null
 * @param timeoutMs timeout of the whole call; milliseconds
 * @param knownConnectionOnly whether to send it only over a connection on which an earlier call has
 *     received a response; if there is none, nothing is sent
 * @param mayBegin returns whether the call may still be sent; called on a thread of the client,
 *     immediately before the first byte, since opening the connection may have taken long; not null
 * @param responseCheck decides whether a response can be the one to this call; not null
 * @since 0.2
 */
public record GuardedCall(
    String method,
    String url,
    Map<String, String> headers,
    String contentType,
    byte[] body,
    long timeoutMs,
    boolean knownConnectionOnly,
    BooleanSupplier mayBegin,
    ResponseCheck responseCheck) {}
