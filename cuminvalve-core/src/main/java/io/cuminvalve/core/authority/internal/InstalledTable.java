package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.RoutingView;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.BitSet;
import java.util.List;

/**
 * The table that a router has installed, and which of its shards are open.
 *
 * @since 0.1
 */
public final class InstalledTable {

  private final SafetyRules rules;
  private ShardTable table;
  private BitSet open = new BitSet();

  /**
   * Creates the state of a router without a table.
   *
   * @param rules the safety rules; not null
   */
  public InstalledTable(SafetyRules rules) {
    this.rules = rules;
  }

  /**
   * Returns the installed table.
   *
   * @return null if there is none
   */
  public ShardTable table() {
    return table;
  }

  /**
   * Returns the installed version.
   *
   * @return never null
   */
  public TableVersion version() {
    return table == null ? TableVersion.NONE : table.version();
  }

  /**
   * Offers a table.
   *
   * @param offered the table; not null
   * @param openShards its moving shards that are open; not null
   * @param lowestTerm tables of lower terms are refused
   * @return whether anything changed
   */
  public boolean offer(ShardTable offered, int[] openShards, long lowestTerm) {
    int order = offered.version().compareTo(version());
    if (table != null && order == 0) {
      return openAll(openShards);
    }
    boolean newer = order > 0 || !rules.refuseOlderVersions();
    boolean fenced = rules.fenceTerms() && offered.version().term() < lowestTerm;
    if (!newer || fenced) {
      return false;
    }
    install(offered, openShards);
    return true;
  }

  /**
   * Opens moving shards whose new owners hold their grants.
   *
   * @param version the version in which they got their owners; not null
   * @param shards the shards; not null
   * @param tokens the token of each; not null
   * @return whether anything changed
   */
  public boolean open(TableVersion version, int[] shards, long[] tokens) {
    // The same shard and token may mean another owner in a table that another holder issued.
    boolean sameHolder = version.term() == version().term() && !version.isNewerThan(version());
    if (table == null || !sameHolder) {
      return false;
    }
    boolean changed = false;
    for (int i = 0; i < shards.length; i++) {
      int shard = shards[i];
      if (table.token(shard) == tokens[i] && !open.get(shard)) {
        open.set(shard);
        changed = true;
      }
    }
    return changed;
  }

  /**
   * Returns the moving shards that are open.
   *
   * @return a new array
   */
  public int[] openMovingShards() {
    return table == null ? new int[0] : open.stream().filter(table::isMoving).toArray();
  }

  /**
   * Returns the entry of a registered router.
   *
   * @param id the router; not null
   * @return null if the table does not name it
   */
  public RegisteredRouter router(RouterId id) {
    if (table == null) {
      return null;
    }
    return table.routers().stream().filter(r -> r.id().equals(id)).findFirst().orElse(null);
  }

  /**
   * Returns the other routers that confirm leases under the installed table.
   *
   * @param self the router that asks; not null
   * @return empty if there is no table
   */
  public List<RegisteredRouter> witnessesApartFrom(RouterId self) {
    if (table == null) {
      return List.of();
    }
    return table.routers().stream()
        .filter(router -> router.witness() && !router.id().equals(self))
        .toList();
  }

  /**
   * Creates the view for traffic threads.
   *
   * @param leaseEndMs when the route lease ends
   * @return a view of the present state
   */
  public RoutingView view(long leaseEndMs) {
    return new RoutingView(table, open.toLongArray(), leaseEndMs);
  }

  private void install(ShardTable next, int[] openShards) {
    BitSet nextOpen = new BitSet(next.shardCount());
    for (int shard = 0; shard < next.shardCount(); shard++) {
      if (!next.isMoving(shard) || wasOpen(next, shard)) {
        nextOpen.set(shard);
      }
    }
    table = next;
    open = nextOpen;
    openAll(openShards);
  }

  private boolean wasOpen(ShardTable next, int shard) {
    if (table == null || shard >= table.shardCount() || !open.get(shard)) {
      return false;
    }
    return table.token(shard) == next.token(shard)
        && ownerOf(table, shard) != null
        && ownerOf(table, shard).equals(ownerOf(next, shard));
  }

  private static TargetId ownerOf(ShardTable table, int shard) {
    int owner = table.owner(shard);
    return owner == ShardTable.NO_TARGET ? null : table.targets().get(owner);
  }

  private boolean openAll(int[] shards) {
    boolean changed = false;
    for (int shard : shards) {
      if (!open.get(shard)) {
        open.set(shard);
        changed = true;
      }
    }
    return changed;
  }
}
