package io.cuminvalve.core.lease;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Computes and applies differences between route lists.
 *
 * <p>Route lists are ordered by key and do not overlap.
 *
 * @since 0.2
 */
public final class RangeRoutes {

  private RangeRoutes() {}

  /**
   * Returns the routes that have to be applied to a list so that it routes like another one.
   *
   * <p>A key whose route differs cannot lie in a route that both lists contain. The routes that
   * only the later list contains therefore cover every such key.
   *
   * @param before the earlier list; not null
   * @param after the later list, which covers every key of the earlier one; not null
   * @return the routes to pass to {@link #overlay}; never null
   */
  public static List<RangeRoute> changes(List<RangeRoute> before, List<RangeRoute> after) {
    Set<RangeRoute> known = new HashSet<>(before);
    List<RangeRoute> changes = new ArrayList<>(after);
    changes.removeIf(known::contains);
    return changes;
  }

  /**
   * Applies changed routes to a list.
   *
   * @param base the list; not null
   * @param changes the routes that replace those of the base for their keys; not null
   * @return the resulting list; never null
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
