package io.cuminvalve.gateway.traffic;

import java.util.HashMap;
import java.util.Map;

/**
 * The mean response times and sizes of routes over all targets.
 *
 * <p>Guarded by the lock of the {@link Dispatcher}.
 */
final class RouteStatistics {

  /** Weight of the newest response in the moving averages of a route. */
  private static final double EWMA_WEIGHT = 0.05;

  private final Map<String, Double> meanTimeMsByRoute = new HashMap<>();
  private final Map<String, Double> meanResponseBytesByRoute = new HashMap<>();

  /** Returns the mean response time of a route in milliseconds; 0 without a response. */
  double meanTimeMs(String route) {
    return meanTimeMsByRoute.getOrDefault(route, 0.0);
  }

  /** Returns the mean size of a route's response bodies; 0 without a response. */
  double meanResponseBytes(String route) {
    return meanResponseBytesByRoute.getOrDefault(route, 0.0);
  }

  /** Records a response and returns its time relative to the mean before it. */
  double recordTime(String route, long tookMs) {
    double mean = meanTimeMsByRoute.getOrDefault(route, Math.max(1.0, tookMs));
    meanTimeMsByRoute.put(route, Math.max(1.0, mean + EWMA_WEIGHT * (tookMs - mean)));
    return tookMs / mean;
  }

  /** Records the size of the response body, if the request has one. */
  void recordResponseSize(SlotRequest request) {
    request
        .responseBytes()
        .ifPresent(
            bytes ->
                meanResponseBytesByRoute.merge(
                    request.route().name(),
                    (double) bytes,
                    (mean, newest) -> mean + EWMA_WEIGHT * (newest - mean)));
  }
}
