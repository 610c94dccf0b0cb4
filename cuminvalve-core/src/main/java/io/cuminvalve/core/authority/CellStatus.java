package io.cuminvalve.core.authority;

import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.placement.MoveReason;
import io.cuminvalve.core.placement.TargetState;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.List;
import java.util.Map;

/**
 * What operators can see of one cell at one controller.
 *
 * @param role what the controller does in the cell; not null
 * @param term the highest term it knows
 * @param holderAddress peer address of the holder as last known; empty if unknown; not null
 * @param issued the newest table version; not null
 * @param closed whether the newest version is proved closed
 * @param configRevision the newest configuration it has
 * @param table the newest table; null if there is none
 * @param routers what each registered router last acknowledged; not null
 * @param targets the state of each target; not null
 * @param movingShards how many shards wait for their new owner
 * @param lastMoves the most recent owner moves, newest last; not null
 * @param storeUnknown whether a write to the store has an unknown outcome
 * @since 0.1
 */
public record CellStatus(
    ControllerRole role,
    long term,
    String holderAddress,
    TableVersion issued,
    boolean closed,
    long configRevision,
    ShardTable table,
    List<RouterStatus> routers,
    Map<TargetId, TargetState> targets,
    int movingShards,
    List<MoveStatus> lastMoves,
    boolean storeUnknown) {

  /**
   * The acknowledgement of one registered router.
   *
   * @param router the router; not null
   * @param version the newest version it installed; not null
   * @param configRevision the newest configuration it installed
   * @param learned whether it has caught up since its start
   * @param silentMs milliseconds since its last reply; {@link Long#MAX_VALUE} if there was none
   * @since 0.1
   */
  public record RouterStatus(
      RouterId router, TableVersion version, long configRevision, boolean learned, long silentMs) {}

  /**
   * One owner move.
   *
   * @param shard the shard
   * @param from the previous owner; null if there was none
   * @param to the new owner; null if there is none
   * @param reason why; not null
   * @param version the version that ordered it; not null
   * @param atMs when, on the controller's clock
   * @since 0.1
   */
  public record MoveStatus(
      int shard, TargetId from, TargetId to, MoveReason reason, TableVersion version, long atMs) {}
}
