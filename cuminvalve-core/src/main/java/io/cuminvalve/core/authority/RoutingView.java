package io.cuminvalve.core.authority;

import io.cuminvalve.core.table.ShardTable;

/**
 * What traffic threads see of one cell: an immutable snapshot.
 *
 * <p>A shard may be dispatched while the route lease lasts and the shard is settled or opened. The
 * lease must be compared with the clock at each dispatch: a paused process does not get a new view.
 *
 * @since 0.1
 */
public final class RoutingView {

  /** The moment that stands for never. */
  public static final long NEVER_MS = Long.MIN_VALUE;

  private static final int WORD_SHIFT = 6;

  private final ShardTable table;
  private final long[] dispatchable;
  private final long leaseEndMs;

  /**
   * Creates a view.
   *
   * @param table the installed table; null if there is none yet
   * @param dispatchable one bit per shard; not null, not copied
   * @param leaseEndMs when the route lease ends, on the router's clock
   */
  public RoutingView(ShardTable table, long[] dispatchable, long leaseEndMs) {
    this.table = table;
    this.dispatchable = dispatchable;
    this.leaseEndMs = leaseEndMs;
  }

  /**
   * Returns the view of a router that knows nothing.
   *
   * @return a view without a table
   */
  public static RoutingView empty() {
    return new RoutingView(null, new long[0], NEVER_MS);
  }

  /**
   * Tells whether there is a table.
   *
   * @return false until the first table is installed
   */
  public boolean hasTable() {
    return table != null;
  }

  /**
   * Returns the installed table.
   *
   * @return null if {@link #hasTable()} is false
   */
  public ShardTable table() {
    return table;
  }

  /**
   * Returns when the route lease ends.
   *
   * @return milliseconds on the router's clock
   */
  public long leaseEndMs() {
    return leaseEndMs;
  }

  /**
   * Tells whether a shard is settled or opened, whatever the lease.
   *
   * @param shard from 0 to the table's shard count - 1
   * @return true if it has an owner that holds its grant
   */
  public boolean isOpen(int shard) {
    int word = shard >> WORD_SHIFT;
    return word < dispatchable.length && (dispatchable[word] & (1L << shard)) != 0;
  }

  /**
   * Returns until when a shard may be dispatched. Allocates nothing.
   *
   * @param shard from 0 to the table's shard count - 1
   * @return milliseconds on the router's clock; {@link #NEVER_MS} if the shard is not open
   */
  public long dispatchableUntilMs(int shard) {
    return isOpen(shard) ? leaseEndMs : NEVER_MS;
  }
}
