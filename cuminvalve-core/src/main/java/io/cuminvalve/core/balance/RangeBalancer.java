package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Finds the moves that even out the load of a service.
 *
 * <p>From the busiest target it takes the narrowest run of keys whose load is about half of the
 * difference to the least busy one: hot keys lie close together, so few keys change hands.
 *
 * @since 0.2
 */
public final class RangeBalancer {

  private final BalancerSettings settings;

  /**
   * Creates a balancer.
   *
   * @param settings when and how much it moves; not null
   */
  public RangeBalancer(BalancerSettings settings) {
    this.settings = settings;
  }

  /**
   * Finds moves. A busy target may give to several others at once.
   *
   * @param targets the targets that may own keys; not null
   * @param loads the load of each key; not null
   * @param maxMoves at most so many
   * @return never null
   */
  public List<RangeMove> plan(List<TargetLoad> targets, KeyLoads loads, int maxMoves) {
    List<Share> shares = new ArrayList<>();
    double busy = 0;
    double slots = 0;
    for (TargetLoad target : targets) {
      double load = target.busySlots(loads);
      busy += load;
      slots += target.capacity();
      shares.add(new Share(target, load));
    }
    double mean = slots == 0 ? 0 : busy / slots;
    List<RangeMove> moves = new ArrayList<>();
    while (moves.size() < maxMoves && shares.size() > 1) {
      shares.sort(Comparator.comparingDouble(Share::utilisation));
      Share from = shares.get(shares.size() - 1);
      Share to = shares.get(0);
      if (!isWorthwhile(from, to, mean)) {
        break;
      }
      Optional<KeyRange> keys = cutFor(from, to, mean, loads);
      if (keys.isEmpty() && to.isEmpty()) {
        keys = startOfWidest(from.ranges);
      }
      if (keys.isEmpty()) {
        shares.remove(from);
        continue;
      }
      moves.add(new RangeMove(keys.get(), from.id, to.id));
      double moved = loads.of(keys.get());
      from.give(keys.get(), moved);
      to.take(moved);
    }
    return moves;
  }

  private boolean isWorthwhile(Share from, Share to, double mean) {
    if (to.isEmpty()) {
      return true;
    }
    double busiest = from.utilisation();
    return busiest > settings.triggerShare()
        && busiest > mean * settings.triggerRatio()
        && busiest - to.utilisation() > settings.triggerGap();
  }

  private static double wantedLoad(Share from, Share to) {
    double evenShare = (from.load + to.load) / (from.slots + to.slots);
    return from.load - evenShare * from.slots;
  }

  private Optional<KeyRange> cutFor(Share from, Share to, double mean, KeyLoads loads) {
    double even = wantedLoad(from, to);
    double room = roomOf(to, mean);
    if (room > 0 && room < even) {
      Optional<KeyRange> fitting = cut(from.ranges, room, loads);
      if (fitting.isPresent()) {
        return fitting;
      }
    }
    return cut(from.ranges, even, loads);
  }

  /**
   * A target that is given half of a hot spot is the next one that is too busy: with several idle
   * ones each gets what it can bear, and every key moves once.
   */
  private double roomOf(Share to, double mean) {
    return Math.max(settings.fillShare(), mean) * to.slots - to.load;
  }

  private Optional<KeyRange> cut(List<KeyRange> ranges, double wanted, KeyLoads loads) {
    return ranges.stream()
        .map(range -> cheapest(range, wanted, loads))
        .flatMap(Optional::stream)
        .min(Comparator.comparingInt(Cut::cost))
        .map(Cut::keys);
  }

  /** For a target that owns nothing: it has to be of some use, also while nobody is busy. */
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

  /** Slides a window over the range: it never holds more than is wanted, and as few keys as can. */
  private Optional<Cut> cheapest(KeyRange range, double wanted, KeyLoads loads) {
    double least = wanted * settings.minShare();
    double most = wanted * settings.maxShare();
    Cut best = null;
    double sum = 0;
    int first = range.first();
    for (int last = range.first(); last <= range.last(); last++) {
      sum += loads.of(last);
      while (first < last && (sum > most || canDrop(range, first, sum, least, loads))) {
        sum -= loads.of(first);
        first++;
      }
      boolean fits = sum >= least && sum <= most && last - first < settings.maxKeys();
      Cut cut = fits ? Cut.of(new KeyRange(first, last), range) : null;
      if (cut != null && (best == null || cut.cost() < best.cost())) {
        best = cut;
      }
    }
    return Optional.ofNullable(best);
  }

  /** A window that begins with the range keeps doing so while that leaves fewer pieces. */
  private static boolean canDrop(
      KeyRange range, int first, double sum, double least, KeyLoads loads) {
    boolean enoughLeft = sum - loads.of(first) >= least;
    boolean atStart = first == range.first();
    return enoughLeft && !(atStart && sum < 2 * least);
  }

  /** A target with its load, as it will be after the moves planned so far. */
  private static final class Share {

    private final TargetId id;
    private final double slots;
    private final List<KeyRange> ranges;
    private double load;
    private boolean gains;

    Share(TargetLoad target, double load) {
      this.id = target.id();
      this.slots = target.capacity();
      this.ranges = new ArrayList<>(target.ranges());
      this.load = load;
      this.gains = !target.otherRanges().isEmpty();
    }

    double utilisation() {
      return load / slots;
    }

    boolean isEmpty() {
      return ranges.isEmpty() && !gains;
    }

    void take(double moved) {
      load += moved;
      gains = true;
    }

    /** Cuts the keys out of the range that has them. */
    void give(KeyRange keys, double moved) {
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
   * Keys to move, and what that costs.
   *
   * @param keys the keys; not null
   * @param cost the keys, and a charge for each piece that is left over: every piece is a lease
   */
  private record Cut(KeyRange keys, int cost) {

    /** A piece is worth moving so many keys more. */
    private static final int PIECE_COST = 400;

    static Cut of(KeyRange keys, KeyRange range) {
      int pieces = keys.first() > range.first() ? 1 : 0;
      pieces += keys.last() < range.last() ? 1 : 0;
      return new Cut(keys, keys.size() + pieces * PIECE_COST);
    }
  }
}
