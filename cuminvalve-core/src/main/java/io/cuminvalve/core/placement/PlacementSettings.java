package io.cuminvalve.core.placement;

import io.cuminvalve.core.inventory.PlacementObjective;

/**
 * Thresholds for moving shards that could stay where they are.
 *
 * <p>Imbalance is the load per weight of a target over the mean. A target above the trigger is
 * relieved until it reaches the matching goal; the gap between the two is the hysteresis. The
 * settled pair applies once the set of usable targets has not changed for a while, so that a
 * rolling restart does not move shards back and forth.
 *
 * @param urgentTrigger imbalance that causes moves at any time
 * @param urgentGoal imbalance at which urgent moves end
 * @param settledTrigger imbalance that causes moves once membership is settled
 * @param settledGoal imbalance at which settled moves end
 * @param settleAfterMs milliseconds without a change of membership after which it is settled
 * @param hotFactor a shard with more than this multiple of the mean load is hot
 * @param warmUpMs milliseconds until a cold target counts with all its slots
 * @param churnPerMillePerMinute churn budget: owner moves per minute that only balance load, in
 *     thousandths of all shards
 * @since 0.1
 */
public record PlacementSettings(
    double urgentTrigger,
    double urgentGoal,
    double settledTrigger,
    double settledGoal,
    long settleAfterMs,
    double hotFactor,
    long warmUpMs,
    int churnPerMillePerMinute) {

  private static final double MIN_WARM_SHARE = 0.1;

  /** Imbalance tolerated among the other targets while one target is empty. */
  private static final double EMPTY_TARGET_ALLOWANCE = 0.05;

  private static final PlacementSettings UNAVAILABLE_TIME_FIRST =
      new PlacementSettings(1.10, 1.05, 1.04, 1.02, 30_000, 4, 30_000, 80);

  private static final PlacementSettings CHURN_FIRST =
      new PlacementSettings(1.17, 1.12, 1.05, 1.04, 300_000, 4, 60_000, 20);

  /**
   * Returns the settings for an objective.
   *
   * @param objective the objective; not null
   * @return never null
   */
  public static PlacementSettings of(PlacementObjective objective) {
    return objective == PlacementObjective.CHURN_FIRST ? CHURN_FIRST : UNAVAILABLE_TIME_FIRST;
  }

  /**
   * Returns the share of the slots of a cold target that counts.
   *
   * @param readyForMs milliseconds since the target became ready
   * @return from 0.1 to 1, growing linearly with time
   */
  public double warmShare(long readyForMs) {
    double elapsed = (double) readyForMs / warmUpMs;
    return Math.min(1, Math.max(MIN_WARM_SHARE, elapsed));
  }

  /**
   * Returns the imbalance above which a target is relieved. Until membership is settled, a single
   * target that has returned empty does not cause moves: in a rolling restart, the next target that
   * drains fills it.
   *
   * @param quietMs milliseconds since the set of usable targets last changed
   * @param usableTargets how many targets are usable; at least 1
   * @return load per weight over the mean
   */
  public double trigger(long quietMs, int usableTargets) {
    if (quietMs >= settleAfterMs) {
      return settledTrigger;
    }
    double withOneEmpty = (double) usableTargets / Math.max(1, usableTargets - 1);
    return Math.max(urgentTrigger, withOneEmpty + EMPTY_TARGET_ALLOWANCE);
  }

  /**
   * Returns the imbalance at which relief of a target ends.
   *
   * @param quietMs milliseconds since the set of usable targets last changed
   * @return load per weight over the mean
   */
  public double goal(long quietMs) {
    return quietMs >= settleAfterMs ? settledGoal : urgentGoal;
  }
}
