package io.cuminvalve.config.admin;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.ControllerId;
import java.util.List;

/**
 * The state of one cell as a controller sees it; only the holder's is authoritative.
 *
 * @param cell the cell; not null
 * @param holding whether the answering controller holds the term
 * @param holder the controller that holds the term; null if unknown
 * @param term the newest term
 * @param tableVersion the newest table version, such as {@code 3.17.0}; not null
 * @param configRevision the newest configuration revision
 * @param shardCount how many shards there are
 * @param unavailableShards how many shards nobody serves at the moment
 * @param movingShards how many shards are on their way to another owner
 * @param imbalance the highest load of a target divided by the mean; 1 is even
 * @param movesLastMinute how many shards changed owner within the last minute
 * @param storeReachable whether the store answered the last call
 * @param routers the registered routers; not null, copied
 * @param targets the targets; not null, copied
 * @since 0.1
 */
public record CellStatus(
    CellId cell,
    boolean holding,
    ControllerId holder,
    long term,
    String tableVersion,
    long configRevision,
    int shardCount,
    int unavailableShards,
    int movingShards,
    double imbalance,
    int movesLastMinute,
    boolean storeReachable,
    List<RouterStatus> routers,
    List<TargetStatus> targets) {

  /** Copies the lists. */
  public CellStatus {
    routers = List.copyOf(routers);
    targets = List.copyOf(targets);
  }
}
