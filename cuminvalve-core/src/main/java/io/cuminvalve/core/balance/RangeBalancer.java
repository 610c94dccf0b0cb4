package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Plans the moves that even out the load of a service.
 *
 * <p>From the busiest target it takes the narrowest run of keys whose load is about half of the
 * difference to the least busy target. Hot keys are close together, so few keys change owner.
 *
 * @since 0.2
 */
public final class RangeBalancer {

  private final BalancerSettings settings;

  /**
   * Creates a balancer.
   *
   * @param settings thresholds and limits; not null
   */
  public RangeBalancer(BalancerSettings settings) {
    this.settings = settings;
  }

  /**
   * Plans moves. A busy target may give keys to several others at once.
   *
   * @param targets the targets that may own keys; not null
   * @param loads the load of each key; not null
   * @param maxMoves the maximum number of moves
   * @return moves that do not overlap; never null
   */
  public List<RangeMove> plan(List<TargetLoad> targets, KeyLoads loads, int maxMoves) {
    List<ProjectedLoad> loadsByTarget = new ArrayList<>();
    double totalLoad = 0;
    double slots = 0;
    for (TargetLoad target : targets) {
      double load = target.busySlots(loads);
      totalLoad += load;
      slots += target.capacity();
      loadsByTarget.add(new ProjectedLoad(target, load));
    }
    double mean = slots == 0 ? 0 : totalLoad / slots;
    List<RangeMove> moves = new ArrayList<>();
    while (moves.size() < maxMoves && loadsByTarget.size() > 1) {
      loadsByTarget.sort(Comparator.comparingDouble(ProjectedLoad::utilisation));
      ProjectedLoad from = loadsByTarget.get(loadsByTarget.size() - 1);
      ProjectedLoad to = loadsByTarget.get(0);
      if (!isWorthwhile(from, to, mean)) {
        break;
      }
      Optional<KeyRange> keys = selectKeys(from, to, mean, loads);
      if (keys.isEmpty() && to.isEmpty()) {
        keys = startOfWidest(from.ranges);
      }
      if (keys.isEmpty()) {
        loadsByTarget.remove(from);
        continue;
      }
      moves.add(new RangeMove(keys.get(), from.id, to.id));
      double moved = loads.of(keys.get());
      from.removeKeys(keys.get(), moved);
      to.addLoad(moved);
    }
    return moves;
  }

  private boolean isWorthwhile(ProjectedLoad from, ProjectedLoad to, double mean) {
    if (to.isEmpty()) {
      return true;
    }
    double busiest = from.utilisation();
    return busiest > settings.triggerShare()
        && busiest > mean * settings.triggerRatio()
        && busiest - to.utilisation() > settings.triggerGap();
  }

  private static double excessLoad(ProjectedLoad from, ProjectedLoad to) {
    double evenShare = (from.load + to.load) / (from.slots + to.slots);
    return from.load - evenShare * from.slots;
  }

  private Optional<KeyRange> selectKeys(
      ProjectedLoad from, ProjectedLoad to, double mean, KeyLoads loads) {
    double excess = excessLoad(from, to);
    double spare = spareCapacity(to, mean);
    if (spare > 0 && spare < excess) {
      Optional<KeyRange> fitting = cheapestOf(from.ranges, spare, loads);
      if (fitting.isPresent()) {
        return fitting;
      }
    }
    return cheapestOf(from.ranges, excess, loads);
  }

  /**
   * Returns the load that a target can take over. Without this limit, a target that receives half
   * of a hot spot would be overloaded next. If several targets are idle, each receives as much as
   * it can serve, and every key moves only once.
   */
  private double spareCapacity(ProjectedLoad to, double mean) {
    return Math.max(settings.fillShare(), mean) * to.slots - to.load;
  }

  private Optional<KeyRange> cheapestOf(List<KeyRange> ranges, double desired, KeyLoads loads) {
    return ranges.stream()
        .map(range -> cheapestWindow(range, desired, loads))
        .flatMap(Optional::stream)
        .min(Comparator.comparingInt(Cut::cost))
        .map(Cut::keys);
  }

  /** Selects keys for a target that owns none: it should serve requests even under low load. */
  private Optional<KeyRange> startOfWidest(List<KeyRange> ranges) {
    return ranges.stream()
        .max(Comparator.comparingInt(KeyRange::size))
        .filter(range -> range.size() > 1)
        .map(
            range -> {
              int size = Math.min(settings.maxKeys(), range.size() / 2);
              return new KeyRange(range.first(), range.first() + size - 1);
            });
  }

  /** Slides a window over the range that holds as few keys as possible within the load limits. */
  private Optional<Cut> cheapestWindow(KeyRange range, double desired, KeyLoads loads) {
    double minLoad = desired * settings.minShare();
    double maxLoad = desired * settings.maxShare();
    Cut best = null;
    double sum = 0;
    int first = range.first();
    for (int last = range.first(); last <= range.last(); last++) {
      sum += loads.of(last);
      while (first < last && (sum > maxLoad || canShrink(range, first, sum, minLoad, loads))) {
        sum -= loads.of(first);
        first++;
      }
      boolean fits = sum >= minLoad && sum <= maxLoad && last - first < settings.maxKeys();
      Cut cut = fits ? Cut.of(new KeyRange(first, last), range) : null;
      if (cut != null && (best == null || cut.cost() < best.cost())) {
        best = cut;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns whether the first key can leave the window. A window at the start of the range keeps
   * it, as this leaves fewer fragments, until it holds twice the minimum load.
   */
  private static boolean canShrink(
      KeyRange range, int first, double sum, double minLoad, KeyLoads loads) {
    boolean enoughLeft = sum - loads.of(first) >= minLoad;
    boolean atStart = first == range.first();
    return enoughLeft && !(atStart && sum < 2 * minLoad);
  }

  /** The load and ranges of a target after the moves planned so far. */
  private static final class ProjectedLoad {

    private final TargetId id;
    private final double slots;
    private final List<KeyRange> ranges;
    private double load;
    private boolean receivesKeys;

    ProjectedLoad(TargetLoad target, double load) {
      this.id = target.id();
      this.slots = target.capacity();
      this.ranges = new ArrayList<>(target.ranges());
      this.load = load;
      this.receivesKeys = !target.otherRanges().isEmpty();
    }

    double utilisation() {
      return load / slots;
    }

    boolean isEmpty() {
      return ranges.isEmpty() && !receivesKeys;
    }

    void addLoad(double moved) {
      load += moved;
      receivesKeys = true;
    }

    /** Cuts the keys out of the range that contains them. */
    void removeKeys(KeyRange keys, double moved) {
      load -= moved;
      for (int i = 0; i < ranges.size(); i++) {
        KeyRange range = ranges.get(i);
        if (range.contains(keys)) {
          ranges.remove(i);
          ranges.addAll(range.without(keys));
          return;
        }
      }
    }
  }

  /**
   * Keys to move and the cost of the move.
   *
   * @param keys the keys; not null
   * @param cost the number of keys, plus a charge for each remaining fragment, as each is a lease
   */
  private record Cut(KeyRange keys, int cost) {

    /** Avoiding one fragment justifies moving this many more keys. */
    private static final int FRAGMENT_COST = 400;

    static Cut of(KeyRange keys, KeyRange range) {
      int fragments = keys.first() > range.first() ? 1 : 0;
      fragments += keys.last() < range.last() ? 1 : 0;
      return new Cut(keys, keys.size() + fragments * FRAGMENT_COST);
    }
  }
}
