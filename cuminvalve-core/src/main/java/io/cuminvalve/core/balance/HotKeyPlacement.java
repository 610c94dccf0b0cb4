package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.List;
import java.util.Optional;

/**
 * Brings a key that keeps most of a target busy to the fastest target.
 *
 * <p>One key has one owner, so nothing but the speed of that owner bounds how often it is served.
 *
 * @since 0.2
 */
public final class HotKeyPlacement {

  /** Busy share of the slots from which one key counts as hot. */
  private static final double HOT_SHARE = 0.45;

  /** How much faster another target has to be; below that a move gains less than it costs. */
  private static final double WORTHWHILE = 1.2;

  /**
   * Finds the next move of a hot key.
   *
   * @param targets the targets that may own keys; not null
   * @param loads the load of each key; not null
   * @param speeds the speed of each target; not null
   * @return empty if every hot key is where it should be
   */
  public Optional<RangeMove> plan(List<TargetLoad> targets, KeyLoads loads, TargetSpeeds speeds) {
    for (TargetLoad target : targets) {
      Optional<KeyRange> hot = hotKeyOf(target, loads);
      if (hot.isEmpty()) {
        continue;
      }
      Optional<TargetId> better = fastest(targets, target, loads, speeds);
      if (better.isPresent()) {
        return Optional.of(new RangeMove(hot.get(), target.id(), better.get()));
      }
    }
    return Optional.empty();
  }

  private Optional<TargetId> fastest(
      List<TargetLoad> targets, TargetLoad owner, KeyLoads loads, TargetSpeeds speeds) {
    TargetId best = null;
    double bestCost = speeds.of(owner.id()) / owner.slots() / WORTHWHILE;
    for (TargetLoad other : targets) {
      double cost = speeds.of(other.id()) / other.slots();
      boolean free = hotKeyOf(other, loads).isEmpty();
      if (free && cost < bestCost) {
        best = other.id();
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private Optional<KeyRange> hotKeyOf(TargetLoad target, KeyLoads loads) {
    int hottest = -1;
    double most = target.slots() * HOT_SHARE;
    for (KeyRange range : target.ranges()) {
      for (int key = range.first(); key <= range.last(); key++) {
        if (loads.of(key) > most) {
          hottest = key;
          most = loads.of(key);
        }
      }
    }
    return hottest < 0 ? Optional.empty() : Optional.of(new KeyRange(hottest, hottest));
  }
}
