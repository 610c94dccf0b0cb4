package io.cuminvalve.core.balance;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.KeyRange;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

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
   * Finds moves, at most one for each target.
   *
   * @param targets the targets that may own keys; not null
   * @param loads the load of each key; not null
   * @param mostMoves at most so many
   * @return never null
   */
  public List<RangeMove> plan(List<TargetLoad> targets, KeyLoads loads, int mostMoves) {
    List<Utilisation> byLoad = new ArrayList<>();
    double busy = 0;
    double slots = 0;
    for (TargetLoad target : targets) {
      double load = target.ranges().stream().mapToDouble(loads::of).sum();
      byLoad.add(new Utilisation(target, load));
      busy += load;
      slots += target.slots();
    }
    byLoad.sort(Comparator.comparingDouble(Utilisation::share));
    double mean = slots == 0 ? 0 : busy / slots;
    return planPairs(byLoad, mean, loads, mostMoves);
  }

  private List<RangeMove> planPairs(
      List<Utilisation> byLoad, double mean, KeyLoads loads, int mostMoves) {
    List<RangeMove> moves = new ArrayList<>();
    Set<TargetId> used = new HashSet<>();
    int low = 0;
    for (int high = byLoad.size() - 1; high > low && moves.size() < mostMoves; high--) {
      Utilisation from = byLoad.get(high);
      if (!from.target().movable()) {
        continue;
      }
      while (low < high && !byLoad.get(low).target().movable()) {
        low++;
      }
      Utilisation to = byLoad.get(low);
      if (low >= high || !isWorthwhile(from, to, mean)) {
        break;
      }
      Optional<KeyRange> keys = cut(from.target().ranges(), wantedLoad(from, to), loads);
      if (keys.isPresent() && used.add(from.target().id()) && used.add(to.target().id())) {
        moves.add(new RangeMove(keys.get(), from.target().id(), to.target().id()));
        low++;
      }
    }
    return moves;
  }

  private boolean isWorthwhile(Utilisation from, Utilisation to, double mean) {
    boolean uneven = from.share() > mean * settings.triggerRatio();
    boolean empty = to.target().ranges().isEmpty();
    return empty || (uneven && from.share() - to.share() > settings.triggerGap());
  }

  private static double wantedLoad(Utilisation from, Utilisation to) {
    double slots = (double) from.target().slots() + to.target().slots();
    double evenShare = (from.load() + to.load()) / slots;
    return from.load() - evenShare * from.target().slots();
  }

  private Optional<KeyRange> cut(List<KeyRange> ranges, double wanted, KeyLoads loads) {
    return ranges.stream()
        .map(range -> narrowest(range, wanted, loads))
        .flatMap(Optional::stream)
        .min(Comparator.comparingInt(KeyRange::size));
  }

  /** Slides a window over the range: it never holds more than is wanted, and as few keys as can. */
  private Optional<KeyRange> narrowest(KeyRange range, double wanted, KeyLoads loads) {
    double least = wanted * settings.minShare();
    double most = wanted * settings.maxShare();
    KeyRange best = null;
    double sum = 0;
    int first = range.first();
    for (int last = range.first(); last <= range.last(); last++) {
      sum += loads.of(last);
      while (first < last && (sum > most || sum - loads.of(first) >= least)) {
        sum -= loads.of(first);
        first++;
      }
      boolean fits = sum >= least && sum <= most && last - first < settings.maxKeys();
      if (fits && (best == null || last - first + 1 < best.size())) {
        best = new KeyRange(first, last);
      }
    }
    return Optional.ofNullable(best);
  }

  /** A target with its load. */
  private record Utilisation(TargetLoad target, double load) {

    double share() {
      return load / target.slots();
    }
  }
}
