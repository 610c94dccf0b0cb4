package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import java.util.Arrays;
import java.util.OptionalDouble;
import java.util.function.Function;

/**
 * Computes the load that a target can take, in busy slots, so that load is balanced by what targets
 * with a rate limit actually accept.
 *
 * <p>A rate limit counts requests and load is measured in busy slots; the mean work per request of
 * the service converts one into the other.
 */
final class RateLimitCapacity {

  /** Lower bound, so that a target with a limit near 0 keeps a capacity above 0. */
  private static final double MIN_SLOTS = 0.01;

  /** Weight of a new report in the moving average, per request in it. */
  private static final double WEIGHT_PER_REQUEST = 0.01;

  private static final double MS_PER_S = 1_000;

  private final Function<TargetId, OptionalDouble> limits;
  private double meanWorkMs;

  RateLimitCapacity(Function<TargetId, OptionalDouble> limits) {
    this.limits = limits;
  }

  /** Adds the work of some requests to the mean; milliseconds. */
  void onWork(int[] workMs, int requests) {
    if (requests <= 0) {
      return;
    }
    double reportedMs = (double) Arrays.stream(workMs).asLongStream().sum() / requests;
    double weight = meanWorkMs == 0 ? 1 : 1 - Math.pow(1 - WEIGHT_PER_REQUEST, requests);
    meanWorkMs += weight * (reportedMs - meanWorkMs);
  }

  /** Returns the capacity of a target; busy slots, above 0. */
  double of(FleetTarget target) {
    OptionalDouble perS = limits.apply(target.id());
    if (perS.isEmpty() || meanWorkMs == 0) {
      return target.slots();
    }
    double busySlots = perS.getAsDouble() * meanWorkMs / MS_PER_S;
    return Math.min(target.slots(), Math.max(MIN_SLOTS, busySlots));
  }
}
