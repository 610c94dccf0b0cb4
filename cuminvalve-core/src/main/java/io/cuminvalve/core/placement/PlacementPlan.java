package io.cuminvalve.core.placement;

import io.cuminvalve.core.id.TargetId;
import java.util.List;

/**
 * The next assignment and the moves that lead to it.
 *
 * <p>A target to which the input table refers keeps its index, so previous owners remain valid.
 *
 * @param targets the targets that indexes refer to; not null, copied
 * @param owners the owner of each shard; not null, not copied
 * @param standbys the standby of each shard; not null, not copied
 * @param moves all differences from the input table, at most one per shard and role; not null,
 *     copied
 * @param imbalanceBefore ratio of the highest load per weight of a usable target to the mean, under
 *     the input table; 0 if no target is usable
 * @param imbalanceAfter the same under this plan
 * @since 0.1
 */
public record PlacementPlan(
    List<TargetId> targets,
    int[] owners,
    int[] standbys,
    List<PlacementMove> moves,
    double imbalanceBefore,
    double imbalanceAfter) {

  /** Copies the lists. */
  public PlacementPlan {
    targets = List.copyOf(targets);
    moves = List.copyOf(moves);
  }

  /**
   * Counts the shards whose owner changes.
   *
   * @return at least 0
   */
  public int ownerMoves() {
    return (int) moves.stream().filter(move -> move.role() == MoveRole.OWNER).count();
  }

  /**
   * Counts the moves with a given reason.
   *
   * @param reason the reason; not null
   * @return at least 0
   */
  public int movesFor(MoveReason reason) {
    return (int) moves.stream().filter(move -> move.reason() == reason).count();
  }
}
