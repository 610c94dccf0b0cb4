package io.cuminvalve.core.route;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the largest head of a request
 * @param maxBodyBytes the largest body
 * @param headerTimeoutMs how long a head may take to arrive; milliseconds
 * @param idleTimeoutMs how long a connection may stay unused; milliseconds
 * @since 0.2
 */
public record CallerBounds(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {}
