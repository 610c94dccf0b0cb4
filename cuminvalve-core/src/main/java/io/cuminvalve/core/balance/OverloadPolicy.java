package io.cuminvalve.core.balance;

import io.cuminvalve.core.lease.KeyRange;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which percentage of the requests for keys of overloaded targets the gateways refuse.
 *
 * <p>A single gateway cannot decide this: if there are more gateways than places in the queue of a
 * target, one request from each fills it, and some targets never respond to requests that they
 * cannot queue. The term holder knows the load of each key over all gateways, including the load of
 * refused requests.
 *
 * @since 0.2
 */
public final class OverloadPolicy {

  /** Desired share of busy slots; the rest absorbs bursts. */
  private static final double DESIRED_UTILISATION = 0.95;

  /** Percentages are rounded to steps, so that noise does not change them. */
  private static final int STEP_PERCENT = 5;

  /** Some requests always pass, as otherwise a drop of the load could not be observed. */
  private static final int MAX_PERCENT = 95;

  private static final double PERCENT = 100.0;

  /**
   * Computes which percentage of the requests for each range is refused.
   *
   * @param targets the targets that own keys; not null
   * @param loads the load of each key; not null
   * @return the percentage by range, without ranges at 0; never null
   */
  public Map<KeyRange, Integer> refusedPercent(List<TargetLoad> targets, KeyLoads loads) {
    Map<KeyRange, Integer> result = new HashMap<>();
    for (TargetLoad target : targets) {
      double excess = target.busySlots(loads) - DESIRED_UTILISATION * target.slots();
      if (excess > 0 && !target.ranges().isEmpty()) {
        refuse(target, excess, loads, result);
      }
    }
    return result;
  }

  /** Refuses the excess on the busiest range if its load suffices, else proportionally on all. */
  private static void refuse(
      TargetLoad target, double excess, KeyLoads loads, Map<KeyRange, Integer> result) {
    KeyRange busiest =
        target.ranges().stream().max(Comparator.comparingDouble(loads::of)).orElseThrow();
    double busiestLoad = loads.of(busiest);
    if (busiestLoad > excess) {
      put(busiest, excess / busiestLoad, result);
      return;
    }
    double share = excess / target.busySlots(loads);
    target.ranges().forEach(range -> put(range, share, result));
  }

  private static void put(KeyRange range, double share, Map<KeyRange, Integer> result) {
    int percent = (int) (Math.round(share * PERCENT / STEP_PERCENT) * STEP_PERCENT);
    if (percent > 0) {
      result.put(range, Math.min(MAX_PERCENT, percent));
    }
  }
}
