package io.cuminvalve.core.placement;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.PlacementObjective;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** A simulated cell in which plans take effect immediately. */
final class PlacementFixture {

  final PlacementPlanner planner = new BalancingPlanner();
  final Map<TargetId, PlacementTarget> targets = new LinkedHashMap<>();
  final PlacementObjective objective;
  ShardTable table;
  double[] loads = new double[0];
  int[] hotShards = new int[0];
  MoveBudget budget = MoveBudget.UNLIMITED;
  long quietMs;

  PlacementFixture(int shardCount, int targetCount, PlacementObjective objective) {
    this.objective = objective;
    int[] noTargets = new int[shardCount];
    Arrays.fill(noTargets, ShardTable.NO_TARGET);
    table = table(List.of(), noTargets, noTargets, noTargets);
    for (int i = 0; i < targetCount; i++) {
      set(i, TargetState.ACTIVE);
    }
  }

  static TargetId id(int number) {
    return new TargetId("t" + number);
  }

  void set(int number, TargetState state) {
    set(number, state, 1);
  }

  void set(int number, TargetState state, double warmShare) {
    DataCentreId dataCentre = new DataCentreId("dc" + number % 3);
    targets.put(id(number), new PlacementTarget(id(number), dataCentre, 4, state, warmShare));
  }

  /** Plans once and installs the new table. */
  PlacementPlan step() {
    PlacementPlan plan = planner.plan(input());
    table = table(plan.targets(), plan.owners(), plan.standbys(), table.previousOwnersCopy());
    return plan;
  }

  PlacementInput input() {
    List<PlacementTarget> known = List.copyOf(targets.values());
    return new PlacementInput(table, known, loads, hotShards, objective, budget, quietMs);
  }

  static ShardTable table(List<TargetId> ids, int[] owners, int[] standbys, int[] previous) {
    return new ShardTable(
        new CellId("claims"),
        new TableVersion(1, 1, 0),
        1,
        List.of(),
        List.of(),
        ids,
        owners,
        standbys,
        previous,
        new long[owners.length]);
  }

  TargetId ownerOf(int shard) {
    return table.targets().get(table.owner(shard));
  }

  DataCentreId dataCentre(int index) {
    return targets.get(table.targets().get(index)).dataCentre();
  }

  int[] shardsOf(int number) {
    int index = table.targets().indexOf(id(number));
    int[] owners = table.ownersCopy();
    return IntStream.range(0, owners.length).filter(shard -> owners[shard] == index).toArray();
  }
}
