package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides, at one look at the load of a service, which keys move: hot keys to the fastest targets,
 * and in the same step what evens out the rest.
 *
 * <p>Several hundred keys may turn hot together and lie close to one another, so that one target
 * owns them all. How fast they are spread must not depend on how many targets there are: the number
 * of moves at a time grows with them. In a model of 201 targets of which 60 neighbouring keys get
 * 44% of all load for 4 s, the slots carry 91% of the load; with ten moves at a time, hot keys one
 * by one and before all others, 60% ({@code HotSpotTest}).
 *
 * @since 0.2
 */
public final class MovePlanner {

  /** Moves at the same time: each closes its keys for the rest of the work under way. */
  private static final int LEAST_MOVES = 10;

  /** In a wide service one move for so many targets: an eighth of them gains keys at a time. */
  private static final int TARGETS_PER_MOVE = 8;

  private final HotKeyPlacement hotKeys;
  private final RangeBalancer balancer;

  /**
   * Creates a planner.
   *
   * @param hotKeys places hot keys; not null
   * @param balancer evens out the rest; not null
   */
  public MovePlanner(HotKeyPlacement hotKeys, RangeBalancer balancer) {
    this.hotKeys = hotKeys;
    this.balancer = balancer;
  }

  /**
   * Returns how many moves may begin at a time.
   *
   * @param targets how many targets the service has
   * @return at least 1
   */
  public static int maxMoves(int targets) {
    return Math.max(LEAST_MOVES, targets / TARGETS_PER_MOVE);
  }

  /**
   * Finds moves.
   *
   * @param targets the targets that may own keys; not null
   * @param loads the load of each key; not null
   * @param speeds the speed of each target; not null
   * @return moves that do not overlap; never null
   */
  public List<RangeMove> plan(List<TargetLoad> targets, KeyLoads loads, RelativeLatencies speeds) {
    int most = maxMoves(targets.size());
    List<RangeMove> hot = hotKeys.plan(targets, loads, speeds, most);
    List<RangeMove> moves = new ArrayList<>(hot);
    moves.addAll(balancer.plan(after(hot, targets), loads, most - hot.size()));
    return moves;
  }

  private static List<TargetLoad> after(List<RangeMove> moves, List<TargetLoad> targets) {
    if (moves.isEmpty()) {
      return targets;
    }
    Map<TargetId, TargetLoad> byId = new HashMap<>();
    targets.forEach(target -> byId.put(target.id(), target));
    for (RangeMove move : moves) {
      byId.computeIfPresent(move.from(), (id, target) -> without(target, move.keys()));
      byId.computeIfPresent(move.to(), (id, target) -> with(target, move.keys()));
    }
    return targets.stream().map(target -> byId.get(target.id())).toList();
  }

  private static TargetLoad without(TargetLoad target, KeyRange keys) {
    List<KeyRange> ranges = new ArrayList<>();
    for (KeyRange range : target.ranges()) {
      ranges.addAll(range.without(keys));
    }
    return new TargetLoad(
        target.id(), target.slots(), target.capacity(), ranges, target.otherRanges());
  }

  private static TargetLoad with(TargetLoad target, KeyRange keys) {
    List<KeyRange> others = new ArrayList<>(target.otherRanges());
    others.add(keys);
    return new TargetLoad(target.id(), target.slots(), target.capacity(), target.ranges(), others);
  }
}
