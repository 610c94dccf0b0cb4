package io.cuminvalve.core.balance;

import io.cuminvalve.core.lease.KeyRange;

/**
 * When and how much the balancer moves.
 *
 * @param triggerRatio utilisation of the busiest target over the mean that starts a move
 * @param triggerShare busy share of its slots below which a target is left alone: requests hardly
 *     wait there
 * @param triggerGap busy share of its slots by which the busiest target has to exceed the least
 *     busy one
 * @param minShare the smallest part of the wanted load that makes a move worthwhile
 * @param maxShare the largest part of the wanted load that one move takes
 * @param fillShare busy share of its slots up to which a move fills a target, unless all are busier
 * @param maxKeys the most keys of one move
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
   * Values from experiments with hot keys: moving a twentieth of all keys at once costs less than a
   * tenth of a second of a target that is overloaded.
   */
  public static final BalancerSettings DEFAULT =
      new BalancerSettings(1.3, 0.45, 0.2, 0.4, 1.1, 0.7, KeyRange.KEY_COUNT / 16);
}
