package io.cuminvalve.core.route;

/**
 * Size and time limits for callers.
 *
 * @param maxHeaderBytes maximum size of a request head; bytes
 * @param maxBodyBytes maximum size of a request body; bytes
 * @param headerTimeoutMs maximum time to receive a request head; milliseconds
 * @param idleTimeoutMs maximum idle time of a connection; milliseconds
 * @since 0.2
 */
public record CallerBounds(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
