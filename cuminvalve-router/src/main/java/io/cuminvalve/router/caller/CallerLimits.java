package io.cuminvalve.router.caller;

/**
 * Bounds on what a router takes from callers.
 *
 * @param maxHeaderBytes the largest head of a request; bytes
 * @param maxBodyBytes the largest body of a request; bytes
 * @param keptBodyBytes the largest body that is read whole before it is sent; bytes
 * @param maxInFlight how many requests the router works on at a time
 * @since 0.1
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, int keptBodyBytes, int maxInFlight) {}
