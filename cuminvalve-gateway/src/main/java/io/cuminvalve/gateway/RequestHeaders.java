package io.cuminvalve.gateway;

/**
 * The header fields by which callers, this process and targets understand each other.
 *
 * @param attemptId names one attempt of a caller; targets repeat it in their answers; not null
 * @param deadlineMs how long the sender waits for an answer; milliseconds; not null
 * @param targetId names the only target that may run the request; not null
 * @param key the key of a request for a service whose keys have owners; not null
 * @param notExecuted present in the answer of a target that did not run the request; not null
 * @param answeringTarget names the target that refused a request which was meant for another; not
 *     null
 * @param targetLimit names, in the answer of a target, the requests a second that it takes from all
 *     gateways together; not null
 * @param signature proves that an answer comes from a target; not null
 * @since 0.2
 */
public record RequestHeaders(
    String attemptId,
    String deadlineMs,
    String targetId,
    String key,
    String notExecuted,
    String answeringTarget,
    String targetLimit,
    String signature) {}
