package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.protocol.ShardsOpened;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Tells routers which moving shards are open.
 *
 * @since 0.1
 */
public final class OpenAnnouncer {

  private final HolderContext context;
  private int[] announced = new int[0];

  /**
   * Creates an announcer that has announced nothing.
   *
   * @param context the holder; not null
   */
  public OpenAnnouncer(HolderContext context) {
    this.context = context;
  }

  /**
   * Announces the open shards if they are not those of the last announcement.
   *
   * @param table the issued table; not null
   * @param openShards its moving shards that are open; not null
   */
  public void announceNew(ShardTable table, int[] openShards) {
    if (!Arrays.equals(openShards, announced)) {
      announce(table, openShards);
    }
  }

  /**
   * Announces the open shards, again if need be: an announcement may be lost.
   *
   * @param table the issued table; null if there is none yet
   * @param openShards its moving shards that are open; not null
   */
  public void announce(ShardTable table, int[] openShards) {
    if (table == null) {
      return;
    }
    announced = openShards;
    if (announced.length == 0) {
      return;
    }
    long[] tokens = IntStream.of(announced).mapToLong(table::token).toArray();
    ShardsOpened opened = new ShardsOpened(context.cell(), table.version(), announced, tokens);
    for (RegisteredRouter router : table.routers()) {
      context.outbox().send(router.peerAddress(), opened);
    }
  }
}
