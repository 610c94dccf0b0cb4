package io.cuminvalve.core.lease;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Compares and patches lists of routes.
 *
 * <p>A list is in the order of keys and has no overlaps.
 *
 * @since 0.2
 */
public final class RangeRoutes {

  private RangeRoutes() {}

  /**
   * Finds what has to be laid over a list so that it routes like another one.
   *
   * <p>A key that goes elsewhere cannot lie in a range that stands in both lists, so the ranges
   * that stand in the later list alone hold every such key.
   *
   * @param before the earlier list; not null
   * @param after the later list, with a range for every key of the earlier one; not null
   * @return the ranges to lay over it; never null
   */
  public static List<RangeRoute> changes(List<RangeRoute> before, List<RangeRoute> after) {
    Set<RangeRoute> known = new HashSet<>(before);
    List<RangeRoute> changes = new ArrayList<>(after);
    changes.removeIf(known::contains);
    return changes;
  }

  /**
   * Lays ranges over a list.
   *
   * @param base the list; not null
   * @param changes the ranges to lay over it; not null
   * @return the patched list; never null
   */
  public static List<RangeRoute> overlay(List<RangeRoute> base, List<RangeRoute> changes) {
    List<RangeRoute> result = new ArrayList<>(base.size() + changes.size());
    int next = 0;
    for (RangeRoute old : base) {
      int from = old.firstKey();
      while (next < changes.size() && changes.get(next).firstKey() <= old.lastKey()) {
        RangeRoute change = changes.get(next);
        addPart(result, old, from, change.firstKey() - 1);
        from = Math.max(from, change.lastKey() + 1);
        if (change.lastKey() > old.lastKey()) {
          break;
        }
        result.add(change);
        next++;
      }
      addPart(result, old, from, old.lastKey());
    }
    result.addAll(changes.subList(next, changes.size()));
    return result;
  }

  private static void addPart(List<RangeRoute> parts, RangeRoute whole, int first, int last) {
    if (first <= last) {
      parts.add(new RangeRoute(first, last, whole.owner(), whole.open(), whole.refusedPercent()));
    }
  }
}
