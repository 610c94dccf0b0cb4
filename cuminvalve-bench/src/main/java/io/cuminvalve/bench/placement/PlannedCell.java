package io.cuminvalve.bench.placement;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.placement.BalancingPlanner;
import io.cuminvalve.core.placement.MoveBudget;
import io.cuminvalve.core.placement.PlacementInput;
import io.cuminvalve.core.placement.PlacementPlan;
import io.cuminvalve.core.placement.PlacementPlanner;
import io.cuminvalve.core.placement.PlacementTarget;
import io.cuminvalve.core.placement.TargetState;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Calls the planner again and again, each time with the table that it planned before.
 *
 * @since 0.1
 */
final class PlannedCell {

  /** Longer than any settling time of the planner; milliseconds. */
  static final long SETTLED_MS = 3_600_000;

  private static final int DATA_CENTRES = 3;

  private final PlacementPlanner planner = new BalancingPlanner();
  private final Map<TargetId, PlacementTarget> targets = new LinkedHashMap<>();
  private final CellSize size;
  private ShardTable table;

  PlannedCell(CellSize size) {
    this.size = size;
    int[] nobody = new int[size.shards()];
    Arrays.fill(nobody, ShardTable.NO_TARGET);
    table = table(List.of(), nobody, nobody);
    for (int number = 0; number < size.instances(); number++) {
      set(number, TargetState.ACTIVE, 1);
    }
  }

  void set(int number, TargetState state, double warmShare) {
    TargetId id = id(number);
    DataCentreId dataCentre = new DataCentreId("dc" + number % DATA_CENTRES);
    targets.put(id, new PlacementTarget(id, dataCentre, size.slots(), state, warmShare));
  }

  private static TargetId id(int number) {
    return new TargetId("i" + number);
  }

  /** Plans without limit and installs the plan. */
  PlacementPlan step(long quietMs) {
    return step(new double[0], new int[0], MoveBudget.UNLIMITED, quietMs);
  }

  PlacementPlan step(double[] loads, int[] hotShards, MoveBudget budget, long quietMs) {
    PlacementPlan plan = planner.plan(input(loads, hotShards, budget, quietMs));
    install(plan);
    return plan;
  }

  PlacementInput input(double[] loads, int[] hotShards, MoveBudget budget, long quietMs) {
    List<PlacementTarget> known = List.copyOf(targets.values());
    return new PlacementInput(table, known, loads, hotShards, size.objective(), budget, quietMs);
  }

  private void install(PlacementPlan plan) {
    table = table(plan.targets(), plan.owners(), plan.standbys());
  }

  private static ShardTable table(List<TargetId> targets, int[] owners, int[] standbys) {
    int[] previousOwners = new int[owners.length];
    Arrays.fill(previousOwners, ShardTable.NO_TARGET);
    return new ShardTable(
        new CellId("bench"),
        new TableVersion(1, 1, 0),
        1,
        List.of(),
        List.of(),
        targets,
        owners,
        standbys,
        previousOwners,
        new long[owners.length]);
  }

  ShardTable table() {
    return table;
  }

  PlacementPlanner planner() {
    return planner;
  }

  /** The highest load of any instance over the mean of those that are not lost. */
  double imbalance(double[] shardLoads) {
    double[] sums = new double[table.targets().size()];
    for (int shard = 0; shard < table.shardCount(); shard++) {
      sums[table.owner(shard)] += shardLoads[shard];
    }
    long usable = targets.values().stream().filter(target -> target.state().isUsable()).count();
    double mean = Arrays.stream(shardLoads).sum() / usable;
    return Arrays.stream(sums).max().orElseThrow() / mean;
  }
}
