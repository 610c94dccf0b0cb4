package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.table.RegisteredRouter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses which routers confirm route leases.
 *
 * <p>An odd number, at most nine, spread over data centres; those that are witnesses already stay
 * where possible.
 *
 * @since 0.1
 */
final class WitnessChooser {

  private static final int MAX_WITNESSES = 9;

  private WitnessChooser() {}

  /**
   * Chooses witnesses.
   *
   * @param routers the registered routers
   * @param isGone tells whether a router is to leave the set
   * @param isReady tells whether a router may be added to the set
   * @return the witnesses; the present ones if nobody else is there
   */
  static Set<RouterId> choose(
      List<RegisteredRouter> routers,
      Predicate<RegisteredRouter> isGone,
      Predicate<RegisteredRouter> isReady) {
    List<RegisteredRouter> staying = new ArrayList<>();
    List<RegisteredRouter> joining = new ArrayList<>();
    for (RegisteredRouter router : routers) {
      if (isGone.test(router)) {
        continue;
      }
      if (router.witness()) {
        staying.add(router);
      } else if (isReady.test(router)) {
        joining.add(router);
      }
    }
    int eligible = staying.size() + joining.size();
    int wanted = Math.min(MAX_WITNESSES, eligible % 2 == 0 ? eligible - 1 : eligible);
    Map<DataCentreId, Integer> perDataCentre = new HashMap<>();
    Set<RouterId> chosen = new HashSet<>();
    take(staying, wanted, perDataCentre, chosen);
    take(joining, wanted, perDataCentre, chosen);
    return chosen;
  }

  private static void take(
      List<RegisteredRouter> candidates,
      int wanted,
      Map<DataCentreId, Integer> perDataCentre,
      Set<RouterId> chosen) {
    List<RegisteredRouter> left = new ArrayList<>(candidates);
    while (chosen.size() < wanted && !left.isEmpty()) {
      RegisteredRouter next = left.get(0);
      for (RegisteredRouter candidate : left) {
        if (count(perDataCentre, candidate) < count(perDataCentre, next)) {
          next = candidate;
        }
      }
      left.remove(next);
      chosen.add(next.id());
      perDataCentre.merge(next.dataCentre(), 1, Integer::sum);
    }
  }

  private static int count(Map<DataCentreId, Integer> perDataCentre, RegisteredRouter router) {
    return perDataCentre.getOrDefault(router.dataCentre(), 0);
  }
}
