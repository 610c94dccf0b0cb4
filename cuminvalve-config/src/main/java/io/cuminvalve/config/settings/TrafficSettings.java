package io.cuminvalve.config.settings;

/**
 * Bounds on what one router takes from callers.
 *
 * @param maxHeaderBytes the largest header section of a request or response; bytes
 * @param maxBodyBytes the largest body of a request; bytes
 * @param maxQueuedRequests how many requests may wait for a slot of a target
 * @param maxInFlightRequests how many requests the router works on at a time
 * @param connectTimeoutMs how long opening a connection to a target may take; milliseconds
 * @param requestRecordCount how many recent requests {@code explain request} remembers
 * @param stopGraceMs how long a stopping router waits for requests in flight; milliseconds
 * @since 0.1
 */
public record TrafficSettings(
    int maxHeaderBytes,
    long maxBodyBytes,
    int maxQueuedRequests,
    int maxInFlightRequests,
    long connectTimeoutMs,
    int requestRecordCount,
    long stopGraceMs) {

  /**
   * Returns the bounds that apply where settings name none.
   *
   * @return never null
   */
  public static TrafficSettings defaults() {
    return new TrafficSettings(16 * 1024, 1024L * 1024 * 1024, 2_000, 4_000, 250, 10_000, 30_000);
  }
}
