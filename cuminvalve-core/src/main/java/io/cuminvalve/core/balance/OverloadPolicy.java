package io.cuminvalve.core.balance;

import io.cuminvalve.core.lease.KeyRange;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which part of the requests for the keys of overloaded targets gateways refuse.
 *
 * <p>A gateway alone cannot tell: in a fleet of more gateways than a target queues requests, one of
 * each fills it, and some targets never answer what they cannot queue. The holder knows the load of
 * each key over all gateways, also that of requests that were refused.
 *
 * @since 0.2
 */
public final class OverloadPolicy {

  /** Busy part of the slots that is aimed at; the rest absorbs what comes in bunches. */
  private static final double AIM = 0.95;

  /** Shares are told in steps, so that noise alone changes nothing. */
  private static final int STEP_PERCENT = 5;

  /** Some requests always go through: otherwise nothing would show that the load has gone. */
  private static final int MOST_PERCENT = 95;

  private static final double PERCENT = 100.0;

  /**
   * Finds the ranges of which a part is refused.
   *
   * @param targets the targets that own keys; not null
   * @param loads the load of each key; not null
   * @return percent by range, only where it is above 0; never null
   */
  public Map<KeyRange, Integer> refusedPercent(List<TargetLoad> targets, KeyLoads loads) {
    Map<KeyRange, Integer> result = new HashMap<>();
    for (TargetLoad target : targets) {
      double excess = target.busySlots(loads) - AIM * target.slots();
      if (excess > 0 && !target.ranges().isEmpty()) {
        refuse(target, excess, loads, result);
      }
    }
    return result;
  }

  /** Takes the excess from the busiest range if it suffices, else from all in proportion. */
  private static void refuse(
      TargetLoad target, double excess, KeyLoads loads, Map<KeyRange, Integer> result) {
    KeyRange busiest =
        target.ranges().stream().max(Comparator.comparingDouble(loads::of)).orElseThrow();
    double most = loads.of(busiest);
    if (most > excess) {
      put(busiest, excess / most, result);
      return;
    }
    double share = excess / target.busySlots(loads);
    target.ranges().forEach(range -> put(range, share, result));
  }

  private static void put(KeyRange range, double share, Map<KeyRange, Integer> result) {
    int percent = (int) (Math.round(share * PERCENT / STEP_PERCENT) * STEP_PERCENT);
    if (percent > 0) {
      result.put(range, Math.min(MOST_PERCENT, percent));
    }
  }
}
