package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import java.util.HashMap;
import java.util.Map;

/**
 * The latency of each target relative to the other targets of its service.
 *
 * <p>Measured as the response time of a target over the mean of the route. Responses of busy
 * targets are left out, as they reflect the queue rather than the speed. Not thread-safe.
 *
 * @since 0.2
 */
public final class RelativeLatencies {

  /** After this many responses the previous value has a weight of one half. */
  private static final double HALF_WEIGHT_SAMPLES = 60;

  private final Map<TargetId, Double> latencies = new HashMap<>();

  /**
   * Adds a measurement.
   *
   * @param target the target; not null
   * @param meanRelativeLatency the mean response time over the mean of the routes
   * @param answers the number of responses measured
   */
  public void onAnswers(TargetId target, double meanRelativeLatency, int answers) {
    double weight = answers / (answers + HALF_WEIGHT_SAMPLES);
    double previous = of(target);
    latencies.put(target, previous + weight * (meanRelativeLatency - previous));
  }

  /**
   * Returns the relative latency of a target.
   *
   * @param target the target; not null
   * @return 1 for the mean and for an unknown target; 2 for half the speed
   */
  public double of(TargetId target) {
    return latencies.getOrDefault(target, 1.0);
  }
}
