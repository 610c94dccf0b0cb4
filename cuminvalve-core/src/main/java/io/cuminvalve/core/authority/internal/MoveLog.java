package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.authority.CellStatus.MoveStatus;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.placement.MoveReason;
import io.cuminvalve.core.placement.MoveRole;
import io.cuminvalve.core.placement.PlacementMove;
import io.cuminvalve.core.placement.PlacementPlan;
import io.cuminvalve.core.table.ShardTable;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The most recent owner moves, for operators.
 *
 * @since 0.1
 */
public final class MoveLog {

  private static final int CAPACITY = 256;

  private final Deque<MoveStatus> moves = new ArrayDeque<>();

  /**
   * Records the differences between two tables.
   *
   * @param before the earlier table; not null
   * @param after the later table; not null
   * @param plan gives the reasons; null if a standby was activated
   * @param nowMs the current time
   */
  public void add(ShardTable before, ShardTable after, PlacementPlan plan, long nowMs) {
    for (int shard = 0; shard < after.shardCount(); shard++) {
      TargetId from = ownerOf(before, shard);
      TargetId to = ownerOf(after, shard);
      if (to != null && !to.equals(from)) {
        append(new MoveStatus(shard, from, to, reasonOf(plan, shard), after.version(), nowMs));
      }
    }
  }

  /**
   * Returns the moves.
   *
   * @return newest last
   */
  public List<MoveStatus> list() {
    return List.copyOf(moves);
  }

  private void append(MoveStatus move) {
    moves.addLast(move);
    if (moves.size() > CAPACITY) {
      moves.removeFirst();
    }
  }

  private static TargetId ownerOf(ShardTable table, int shard) {
    int owner = shard < table.shardCount() ? table.owner(shard) : ShardTable.NO_TARGET;
    return owner == ShardTable.NO_TARGET ? null : table.targets().get(owner);
  }

  private static MoveReason reasonOf(PlacementPlan plan, int shard) {
    if (plan == null) {
      return MoveReason.TARGET_LOST;
    }
    return plan.moves().stream()
        .filter(move -> move.shard() == shard)
        .filter(move -> move.role() == MoveRole.OWNER)
        .map(PlacementMove::reason)
        .findFirst()
        .orElse(MoveReason.TARGET_LOST);
  }
}
