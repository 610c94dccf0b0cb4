package io.cuminvalve.gateway;

/**
 * The header fields of requests by which callers, this process and targets understand each other.
 *
 * @param attemptId names one attempt of a caller; targets repeat it in their answers; not null
 * @param deadlineMs how long the sender waits for an answer; milliseconds; not null
 * @param targetId names the only target that may run the request; not null
 * @param key the key of a request for a service whose keys have owners; not null
 * @since 0.2
 */
public record RequestHeaders(String attemptId, String deadlineMs, String targetId, String key) {}
