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
 * The key ranges of one service in the order of their keys, with operations to split, merge and
 * list them.
 *
 * <p>{@link LeaseManager} decides which orders a range needs.
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

  /** Returns when a release was sent; 0 if no range waits for its answer any longer. */
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

  /** Splits ranges so that none overlaps the given keys partly. */
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

  /** Merges adjacent settled ranges of one owner. */
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

  /** Returns the ranges whose owner may no longer own keys. */
  List<KeyRange> withUnusableOwner(Predicate<TargetId> usable) {
    List<KeyRange> result = new ArrayList<>();
    for (LeasedRange leased : ranges) {
      if (!usable.test(leased.owner())) {
        result.add(leased.range());
      }
    }
    return result;
  }

  /** Returns the settled ranges of each owner, or those that are not settled. */
  Map<TargetId, List<KeyRange>> byOwner(boolean settled, long nowMs) {
    Map<TargetId, List<KeyRange>> result = new HashMap<>();
    for (LeasedRange leased : ranges) {
      if (leased.isSettled(nowMs) == settled) {
        result.computeIfAbsent(leased.owner(), id -> new ArrayList<>()).add(leased.range());
      }
    }
    return result;
  }

  /** Returns the assignments to store. */
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

  /** Returns the routes; adjacent ranges with the same properties are combined into one. */
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
