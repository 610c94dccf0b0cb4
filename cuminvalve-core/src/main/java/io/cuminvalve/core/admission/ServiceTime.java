package io.cuminvalve.core.admission;

/**
 * Estimates the mean and the low end of the service time of one class at one target, as
 * exponentially weighted moving averages.
 *
 * <p>Requests of one class differ in cost. The mean predicts how fast a queue drains; only the low
 * end shows that a request cannot meet its deadline.
 *
 * @since 0.1
 */
final class ServiceTime {

  private static final double MEAN_WEIGHT = 0.1;
  private static final double LOW_WEIGHT_FALLING = 0.5;
  private static final double LOW_WEIGHT_RISING = 0.02;
  private static final double MIN_MEAN_MS = 0.1;

  private double meanMs;
  private double lowMs;
  private boolean measured;

  void add(long serviceMs) {
    double lowWeight = serviceMs < lowMs ? LOW_WEIGHT_FALLING : LOW_WEIGHT_RISING;
    lowMs = measured ? lowMs + lowWeight * (serviceMs - lowMs) : serviceMs;
    meanMs = measured ? meanMs + MEAN_WEIGHT * (serviceMs - meanMs) : serviceMs;
    measured = true;
  }

  /** Returns the mean in milliseconds; above 0 even before the first measurement. */
  double meanMs() {
    return Math.max(MIN_MEAN_MS, meanMs);
  }

  /** Returns the service time of the fastest requests in milliseconds. */
  double lowMs() {
    return lowMs;
  }
}
