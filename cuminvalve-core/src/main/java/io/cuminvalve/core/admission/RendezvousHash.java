package io.cuminvalve.core.admission;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.table.KeyHasher;
import io.cuminvalve.core.table.RegisteredRouter;
import java.util.ArrayList;
import java.util.List;

/**
 * Rendezvous hashing: ranks routers for a name, so that adding or removing a router reassigns only
 * the names of that router. Immutable.
 *
 * <p>Names and routers are hashed once. Ranking a name then takes a few operations per router, so a
 * router can recompute the ranking of all its entries when the registered routers change.
 *
 * @since 0.1
 */
public final class RendezvousHash {

  // The constants of the 64-bit finalizer of MurmurHash3.
  private static final long FIRST_FACTOR = 0xff51afd7ed558ccdL;
  private static final long SECOND_FACTOR = 0xc4ceb9fe1a85ec53L;
  private static final int SHIFT = 33;

  private final List<RouterId> routers;
  private final long[] hashes;

  /**
   * Creates a ranking of the given routers.
   *
   * @param registered the registered routers; not null
   */
  public RendezvousHash(List<RegisteredRouter> registered) {
    routers = registered.stream().map(RegisteredRouter::id).toList();
    hashes = routers.stream().mapToLong(router -> KeyHasher.hash(router.value())).toArray();
  }

  /**
   * Returns the routers of a name, first choice first.
   *
   * @param name the name; not null
   * @param registered the registered routers; not null
   * @param count the maximum number of routers to return
   * @return at most {@code count} routers; never null
   */
  public static List<RouterId> pick(String name, List<RegisteredRouter> registered, int count) {
    return new RendezvousHash(registered).pick(KeyHasher.hash(name), count);
  }

  /**
   * Returns the routers of a name, first choice first.
   *
   * @param nameHash the hash of the name
   * @param count the maximum number of routers to return
   * @return at most {@code count} routers; never null
   */
  public List<RouterId> pick(long nameHash, int count) {
    List<RouterId> picked = new ArrayList<>(count);
    for (int rank = 0; rank < Math.min(count, hashes.length); rank++) {
      picked.add(null);
    }
    for (int i = 0; i < hashes.length; i++) {
      int rank = rankOf(i, nameHash);
      if (rank < picked.size()) {
        picked.set(rank, routers.get(i));
      }
    }
    return picked;
  }

  /**
   * Returns whether a router is among the first choices of a name.
   *
   * @param router the router; not null
   * @param nameHash the hash of the name
   * @param count the number of first choices
   * @return whether it is; false if the router is not registered
   */
  public boolean isPicked(RouterId router, long nameHash, int count) {
    int index = routers.indexOf(router);
    return index >= 0 && rankOf(index, nameHash) < count;
  }

  /** Returns the number of routers ranked before the given one. */
  private int rankOf(int index, long nameHash) {
    long own = score(hashes[index], nameHash);
    int rank = 0;
    for (int i = 0; i < hashes.length; i++) {
      long other = score(hashes[i], nameHash);
      boolean before =
          other < own || (other == own && routers.get(i).compareTo(routers.get(index)) < 0);
      rank += before ? 1 : 0;
    }
    return rank;
  }

  private static long score(long routerHash, long nameHash) {
    long mixed = routerHash ^ nameHash;
    mixed = (mixed ^ (mixed >>> SHIFT)) * FIRST_FACTOR;
    mixed = (mixed ^ (mixed >>> SHIFT)) * SECOND_FACTOR;
    return mixed ^ (mixed >>> SHIFT);
  }
}
