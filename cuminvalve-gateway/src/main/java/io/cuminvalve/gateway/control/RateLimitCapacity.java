package io.cuminvalve.gateway.control;

import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.id.TargetId;
import java.util.Arrays;
import java.util.OptionalDouble;
import java.util.function.Function;

/**
 * Tells how many busy slots a target can bear, so that load is evened out by what targets with a
 * limit really take.
 *
 * <p>A limit counts requests and load is measured in busy slots: the mean work of a request of the
 * service turns one into the other.
 */
final class RateLimitCapacity {

  /** A target with a limit near 0 still is some target. */
  private static final double MIN_SLOTS = 0.01;

  /** Weight of the newest report, for each request in it. */
  private static final double WEIGHT_PER_REQUEST = 0.01;

  private static final double MS_PER_S = 1_000;

  private final Function<TargetId, OptionalDouble> limits;
  private double meanWorkMs;

  RateLimitCapacity(Function<TargetId, OptionalDouble> limits) {
    this.limits = limits;
  }

  /** Takes the work of some requests; milliseconds. */
  void onWork(int[] workMs, int requests) {
    if (requests <= 0) {
      return;
    }
    double reportedMs = (double) Arrays.stream(workMs).asLongStream().sum() / requests;
    double weight = meanWorkMs == 0 ? 1 : 1 - Math.pow(1 - WEIGHT_PER_REQUEST, requests);
    meanWorkMs += weight * (reportedMs - meanWorkMs);
  }

  /** Returns what a target can bear; busy slots, above 0. */
  double of(FleetTarget target) {
    OptionalDouble perS = limits.apply(target.id());
    if (perS.isEmpty() || meanWorkMs == 0) {
      return target.slots();
    }
    double busySlots = perS.getAsDouble() * meanWorkMs / MS_PER_S;
    return Math.min(target.slots(), Math.max(MIN_SLOTS, busySlots));
  }
}
