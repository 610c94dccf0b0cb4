package io.cuminvalve.core.balance;

import io.cuminvalve.core.lease.KeyRange;

/**
 * Thresholds and limits of the balancer.
 *
 * @param triggerRatio ratio of the utilisation of the busiest target to the mean above which keys
 *     are moved
 * @param triggerShare share of busy slots up to which a target keeps its keys, because requests
 *     hardly queue there
 * @param triggerGap minimum difference between the shares of busy slots of the busiest and the
 *     least busy target
 * @param minShare the smallest fraction of the load to move that justifies a move
 * @param maxShare the largest fraction of the load to move that one move may take
 * @param fillShare share of busy slots up to which a move fills a target, or the mean share if that
 *     is higher
 * @param maxKeys the maximum number of keys in one move
 * @since 0.2
 */
public record BalancerSettings(
    double triggerRatio,
    double triggerShare,
    double triggerGap,
    double minShare,
    double maxShare,
    double fillShare,
    int maxKeys) {

  /**
   * Default values. Moving a twentieth of all keys at once costs less than leaving a target
   * overloaded for 0.1 s.
   */
  public static final BalancerSettings DEFAULT =
      new BalancerSettings(1.3, 0.45, 0.2, 0.4, 1.1, 0.7, KeyRange.KEY_COUNT / 16);
}
