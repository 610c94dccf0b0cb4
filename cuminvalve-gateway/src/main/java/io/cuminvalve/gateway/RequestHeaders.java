package io.cuminvalve.gateway;

/**
 * The names of the request header fields that callers, gateways and targets exchange.
 *
 * @param attemptId identifies one attempt of a caller; targets repeat it in their responses; not
 *     null
 * @param deadlineMs how long the sender waits for a response; milliseconds; not null
 * @param targetId identifies the only target that may run the request; not null
 * @param key the routing key of a request for a service whose keys have owners; not null
 * @since 0.2
 */
public record RequestHeaders(String attemptId, String deadlineMs, String targetId, String key) {}
