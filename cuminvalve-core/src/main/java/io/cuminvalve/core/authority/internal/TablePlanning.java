package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.hotkey.LoadAggregator;
import io.cuminvalve.core.inventory.PlacementObjective;
import io.cuminvalve.core.placement.ChurnBudget;
import io.cuminvalve.core.placement.MoveBudget;
import io.cuminvalve.core.placement.MoveReason;
import io.cuminvalve.core.placement.PlacementInput;
import io.cuminvalve.core.placement.PlacementPlan;
import io.cuminvalve.core.placement.PlacementPlanner;
import io.cuminvalve.core.placement.PlacementSettings;
import io.cuminvalve.core.placement.TargetState;
import io.cuminvalve.core.protocol.LoadReport;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;

/**
 * Decides what the next table of a holder is.
 *
 * <p>Planned moves come in paced batches, the next only once every shard of the last is open. Only
 * taking over from lost targets and first assignments do not wait.
 *
 * @since 0.1
 */
public final class TablePlanning {

  private static final long REPLAN_MS = 500;

  private final HolderContext context;
  private final PlacementPlanner planner;
  private final TargetWatch targets;
  private final MoveExecutor moves;
  private final RouterRoster roster;
  private LoadAggregator loads;
  private ChurnBudget churn;
  private PlacementPlan lastPlan;
  private long replanAtMs = Long.MIN_VALUE;
  private long nextBatchAtMs = Long.MIN_VALUE;

  /**
   * Creates the planning of a new holder.
   *
   * @param context the holder; not null
   * @param planner decides owners and standbys; not null
   * @param targets knows the targets; not null
   * @param moves knows the progress of moving shards; not null
   * @param roster knows the routers; not null
   */
  public TablePlanning(
      HolderContext context,
      PlacementPlanner planner,
      TargetWatch targets,
      MoveExecutor moves,
      RouterRoster roster) {
    this.context = context;
    this.planner = planner;
    this.targets = targets;
    this.moves = moves;
    this.roster = roster;
  }

  /** Makes the next call plan anew, whatever the time. */
  public void replan() {
    replanAtMs = Long.MIN_VALUE;
  }

  /**
   * Takes the load that a router measured.
   *
   * @param report the report; not null
   * @param shardCount how many shards there are
   * @param nowMs the current time
   */
  public void onLoad(LoadReport report, int shardCount, long nowMs) {
    if (loads == null) {
      loads = new LoadAggregator(shardCount);
    }
    loads.onReport(report, nowMs);
  }

  /**
   * Builds the next table.
   *
   * @param issued the present table; not null
   * @param closed whether it is closed
   * @param version the version of the next table; not null
   * @param configRevision the newest configuration
   * @param nowMs the current time
   * @return null if nothing is to change
   */
  public ShardTable next(
      ShardTable issued, boolean closed, TableVersion version, long configRevision, long nowMs) {
    boolean changed = targets.takeChanged();
    if (!changed && nowMs < replanAtMs && !hasRoutine(issued, closed, nowMs)) {
      return null;
    }
    if (!closed && !changed && !hasLostOwner(issued)) {
      return null;
    }
    replanAtMs = nowMs + (closed ? REPLAN_MS : context.timings().heartbeatMs());
    TableBuilder builder =
        new TableBuilder(issued).settle(moves).roster(roster.next(issued, closed, nowMs));
    lastPlan = null;
    if (targets.service() != null) {
      lastPlan = planner.plan(input(issued, closed, nowMs));
      builder.apply(lastPlan, moves);
    }
    // Each further version starts the closing anew, so nothing but a take-over may do so.
    boolean worthIt = closed ? builder.isChanged() : builder.isOwnerChanged();
    if (!worthIt) {
      return null;
    }
    if (builder.isOwnerChanged()) {
      spend(nowMs);
    }
    return builder.build(version, configRevision);
  }

  /**
   * Builds the table that gives shards of lost owners to their recorded standbys.
   *
   * @param issued the present table; not null
   * @param nowMs the current time
   * @return null if there is no such shard
   */
  public ShardTable activation(ShardTable issued, long nowMs) {
    TableBuilder builder = new TableBuilder(issued);
    for (int shard = 0; shard < issued.shardCount(); shard++) {
      // An activated shard has no standby until the store has agreed to another one.
      if (moves.mayReassign(shard)
          && isOwnerLost(issued, shard)
          && isStandbyUsable(issued, shard, nowMs)) {
        builder.activateStandby(shard);
      }
    }
    return builder.isChanged()
        ? builder.build(issued.version().nextActivation(), issued.configRevision())
        : null;
  }

  /**
   * Tells whether the owner of some shard is lost.
   *
   * @param table the table; not null
   * @return true if there is such a shard
   */
  public boolean hasLostOwner(ShardTable table) {
    for (int shard = 0; shard < table.shardCount(); shard++) {
      if (isOwnerLost(table, shard)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the plan of the last table built.
   *
   * @return null if it had none
   */
  public PlacementPlan lastPlan() {
    return lastPlan;
  }

  private boolean hasRoutine(ShardTable issued, boolean closed, long nowMs) {
    if (!closed) {
      return false;
    }
    boolean opened = moves.openShards().length > 0 && moves.waiting() == 0;
    RosterChange change = roster.next(issued, true, nowMs);
    return opened
        || !change.routers().equals(issued.routers())
        || !change.previousWitnesses().equals(issued.previousWitnesses());
  }

  private PlacementInput input(ShardTable issued, boolean closed, long nowMs) {
    PlacementObjective objective = targets.service().objective();
    if (churn == null) {
      churn = ChurnBudget.of(PlacementSettings.of(objective), issued.shardCount(), nowMs);
    }
    boolean mayMove = closed && moves.waiting() == 0 && nowMs >= nextBatchAtMs;
    int batch = context.timings().moveBatchShards();
    MoveBudget budget =
        mayMove
            ? new MoveBudget(Math.min(batch, churn.available(nowMs)), batch, batch)
            : new MoveBudget(0, 0, 0);
    return new PlacementInput(
        issued,
        targets.placementTargets(nowMs),
        loads == null ? new double[0] : loads.shardLoads(nowMs),
        loads == null ? new int[0] : loads.hotShards(nowMs),
        objective,
        budget,
        targets.quietMs(nowMs));
  }

  private void spend(long nowMs) {
    int avoidable =
        lastPlan.movesFor(MoveReason.OWNER_OVERLOADED)
            + lastPlan.movesFor(MoveReason.HOT_SHARDS_TOGETHER);
    churn.spend(avoidable);
    nextBatchAtMs = nowMs + context.timings().moveBatchMs();
    replanAtMs = Math.min(replanAtMs, nextBatchAtMs);
  }

  private boolean isOwnerLost(ShardTable table, int shard) {
    int owner = table.owner(shard);
    return owner != ShardTable.NO_TARGET && targets.isLost(table.targets().get(owner));
  }

  private boolean isStandbyUsable(ShardTable table, int shard, long nowMs) {
    int standby = table.standby(shard);
    if (standby == ShardTable.NO_TARGET) {
      return false;
    }
    return targets.state(table.targets().get(standby), nowMs) != TargetState.LOST;
  }
}
