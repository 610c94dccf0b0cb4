package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import java.util.HashMap;
import java.util.Map;

/**
 * How slow each target is in relation to the others of its service.
 *
 * <p>Measured as the time of its answers over the mean of their route. Answers of a target that is
 * busy tell more of its queue than of its speed and are left out. Not safe for use by several
 * threads.
 *
 * @since 0.2
 */
public final class RelativeLatencies {

  /** After so many answers the mean of the past counts half. */
  private static final double HALF_SAMPLES = 60;

  private final Map<TargetId, Double> slowness = new HashMap<>();

  /**
   * Takes a measurement.
   *
   * @param target the target; not null
   * @param meanRelativeTime the mean time of its answers over the mean of their routes
   * @param answers how many answers that was
   */
  public void onAnswers(TargetId target, double meanRelativeTime, int answers) {
    double weight = answers / (answers + HALF_SAMPLES);
    double before = of(target);
    slowness.put(target, before + weight * (meanRelativeTime - before));
  }

  /**
   * Returns how slow a target is.
   *
   * @param target the target; not null
   * @return 1 for the mean and for a target that is unknown; 2 for half the speed
   */
  public double of(TargetId target) {
    return slowness.getOrDefault(target, 1.0);
  }
}
