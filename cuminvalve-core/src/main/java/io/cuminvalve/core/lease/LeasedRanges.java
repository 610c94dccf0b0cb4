package io.cuminvalve.core.lease;

import io.cuminvalve.core.id.TargetId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * The ranges of one service in the order of their keys: how they are cut, joined and listed.
 *
 * <p>Which orders a range needs is the matter of {@link LeaseManager}.
 */
final class LeasedRanges implements Iterable<LeasedRange> {

  private List<LeasedRange> ranges = new ArrayList<>();

  void add(LeasedRange leased) {
    ranges.add(leased);
  }

  int size() {
    return ranges.size();
  }

  boolean isEmpty() {
    return ranges.isEmpty();
  }

  boolean any(Predicate<LeasedRange> condition) {
    return ranges.stream().anyMatch(condition);
  }

  /** Returns when a release was sent; 0 if nothing waits for its answer any more. */
  long releaseSentMs(LeaseOrder.Release order) {
    long sentMs = 0;
    for (LeasedRange leased : ranges) {
      PreviousOwner previous = leased.previousOwners().get(order.target());
      if (previous != null && leased.token() == order.token()) {
        sentMs = previous.releaseSentMs();
      }
    }
    return sentMs;
  }

  @Override
  public Iterator<LeasedRange> iterator() {
    return ranges.iterator();
  }

  /** Cuts ranges so that none lies partly in the given one. */
  void splitAt(KeyRange keys) {
    List<LeasedRange> cut = new ArrayList<>();
    for (LeasedRange leased : ranges) {
      KeyRange range = leased.range();
      int from = Math.max(range.first(), keys.first());
      int to = Math.min(range.last(), keys.last());
      if (from > to || (from == range.first() && to == range.last())) {
        cut.add(leased);
        continue;
      }
      if (range.first() < from) {
        cut.add(leased.withKeys(new KeyRange(range.first(), from - 1)));
      }
      cut.add(leased.withKeys(new KeyRange(from, to)));
      if (to < range.last()) {
        cut.add(leased.withKeys(new KeyRange(to + 1, range.last())));
      }
    }
    ranges = cut;
  }

  /** Joins neighbours of one owner on which nothing is under way. */
  void mergeAdjacentRanges(long nowMs, LongSupplier tokens) {
    List<LeasedRange> joined = new ArrayList<>();
    for (LeasedRange leased : ranges) {
      LeasedRange last = joined.isEmpty() ? null : joined.get(joined.size() - 1);
      if (last == null || !last.canMergeWith(leased, nowMs)) {
        joined.add(leased);
        continue;
      }
      boolean sameToken = last.token() == leased.token();
      LeasedRange both = last.mergedWith(leased);
      if (!sameToken) {
        both.resetWithToken(tokens.getAsLong());
      }
      joined.set(joined.size() - 1, both);
    }
    ranges = joined;
  }

  /** Returns the ranges whose owner must not have them any longer. */
  List<KeyRange> withUnusableOwner(Predicate<TargetId> usable) {
    List<KeyRange> result = new ArrayList<>();
    for (LeasedRange leased : ranges) {
      if (!usable.test(leased.owner())) {
        result.add(leased.range());
      }
    }
    return result;
  }

  /** Returns the ranges of each owner on which nothing is under way, or the others. */
  Map<TargetId, List<KeyRange>> byOwner(boolean settled, long nowMs) {
    Map<TargetId, List<KeyRange>> result = new HashMap<>();
    for (LeasedRange leased : ranges) {
      if (leased.isSettled(nowMs) == settled) {
        result.computeIfAbsent(leased.owner(), id -> new ArrayList<>()).add(leased.range());
      }
    }
    return result;
  }

  /** Returns what is to be stored. */
  List<RangeAssignment> assignments(long nowMs) {
    List<RangeAssignment> assignments = new ArrayList<>();
    for (LeasedRange leased : ranges) {
      assignments.add(
          new RangeAssignment(
              leased.range().first(),
              leased.range().last(),
              leased.owner(),
              List.copyOf(leased.previousOwners().keySet()),
              leased.bounds(nowMs)));
    }
    return assignments;
  }

  /** Returns where requests go; neighbours for which the same holds are one route. */
  List<RangeRoute> routes(ToIntFunction<KeyRange> refusedPercent) {
    List<RangeRoute> routes = new ArrayList<>();
    for (LeasedRange leased : ranges) {
      KeyRange range = leased.range();
      int refused = refusedPercent.applyAsInt(range);
      RangeRoute last = routes.isEmpty() ? null : routes.get(routes.size() - 1);
      boolean sameRoute =
          last != null
              && last.owner().equals(leased.owner())
              && last.open() == leased.isOpen()
              && last.refusedPercent() == refused;
      int first = sameRoute ? last.firstKey() : range.first();
      RangeRoute route =
          new RangeRoute(first, range.last(), leased.owner(), leased.isOpen(), refused);
      if (sameRoute) {
        routes.set(routes.size() - 1, route);
      } else {
        routes.add(route);
      }
    }
    return routes;
  }
}
