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

  void add(LeasedRange held) {
    ranges.add(held);
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
    for (LeasedRange held : ranges) {
      PreviousOwner previous = held.previousOwners().get(order.target());
      if (previous != null && held.token() == order.token()) {
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
  void cutOut(KeyRange keys) {
    List<LeasedRange> cut = new ArrayList<>();
    for (LeasedRange held : ranges) {
      KeyRange range = held.range();
      int from = Math.max(range.first(), keys.first());
      int to = Math.min(range.last(), keys.last());
      if (from > to || (from == range.first() && to == range.last())) {
        cut.add(held);
        continue;
      }
      if (range.first() < from) {
        cut.add(held.withKeys(new KeyRange(range.first(), from - 1)));
      }
      cut.add(held.withKeys(new KeyRange(from, to)));
      if (to < range.last()) {
        cut.add(held.withKeys(new KeyRange(to + 1, range.last())));
      }
    }
    ranges = cut;
  }

  /** Joins neighbours of one owner on which nothing is under way. */
  void mergeAdjacentRanges(long nowMs, LongSupplier tokens) {
    List<LeasedRange> joined = new ArrayList<>();
    for (LeasedRange held : ranges) {
      LeasedRange last = joined.isEmpty() ? null : joined.get(joined.size() - 1);
      if (last == null || !last.joins(held, nowMs)) {
        joined.add(held);
        continue;
      }
      boolean sameToken = last.token() == held.token();
      LeasedRange both = last.joinedWith(held);
      if (!sameToken) {
        both.restartWith(tokens.getAsLong());
      }
      joined.set(joined.size() - 1, both);
    }
    ranges = joined;
  }

  /** Returns the ranges whose owner must not have them any longer. */
  List<KeyRange> ofOthers(Predicate<TargetId> usable) {
    List<KeyRange> result = new ArrayList<>();
    for (LeasedRange held : ranges) {
      if (!usable.test(held.owner())) {
        result.add(held.range());
      }
    }
    return result;
  }

  /** Returns the ranges of each owner on which nothing is under way, or the others. */
  Map<TargetId, List<KeyRange>> byOwner(boolean settled, long nowMs) {
    Map<TargetId, List<KeyRange>> result = new HashMap<>();
    for (LeasedRange held : ranges) {
      if (held.isSettled(nowMs) == settled) {
        result.computeIfAbsent(held.owner(), id -> new ArrayList<>()).add(held.range());
      }
    }
    return result;
  }

  /** Returns what is to be stored. */
  List<RangeAssignment> assignments(long nowMs) {
    List<RangeAssignment> assignments = new ArrayList<>();
    for (LeasedRange held : ranges) {
      assignments.add(
          new RangeAssignment(
              held.range().first(),
              held.range().last(),
              held.owner(),
              List.copyOf(held.previousOwners().keySet()),
              held.bounds(nowMs)));
    }
    return assignments;
  }

  /** Returns where requests go; neighbours for which the same holds are one route. */
  List<RangeRoute> routes(ToIntFunction<KeyRange> refusedPercent) {
    List<RangeRoute> routes = new ArrayList<>();
    for (LeasedRange held : ranges) {
      KeyRange range = held.range();
      int refused = refusedPercent.applyAsInt(range);
      RangeRoute last = routes.isEmpty() ? null : routes.get(routes.size() - 1);
      boolean joins =
          last != null
              && last.owner().equals(held.owner())
              && last.open() == held.isOpen()
              && last.refusedPercent() == refused;
      int first = joins ? last.firstKey() : range.first();
      RangeRoute route = new RangeRoute(first, range.last(), held.owner(), held.isOpen(), refused);
      if (joins) {
        routes.set(routes.size() - 1, route);
      } else {
        routes.add(route);
      }
    }
    return routes;
  }
}
