package io.cuminvalve.core.placement;

import io.cuminvalve.core.placement.internal.Assignment;
import io.cuminvalve.core.placement.internal.OwnerBalancer;
import io.cuminvalve.core.placement.internal.OwnerRepair;
import io.cuminvalve.core.placement.internal.StandbyPlanner;
import java.util.BitSet;
import java.util.function.Function;

/**
 * Plans assignments with few moves and bounded imbalance.
 *
 * <p>The steps, in this order: shards of lost targets move to their standbys, shards without an
 * owner get one, draining targets hand over shards, overloaded targets are relieved, and every
 * shard gets a standby, in another data centre than its owner if possible. The budget of the input
 * limits the moves that could be postponed.
 *
 * @since 0.1
 */
public final class BalancingPlanner implements PlacementPlanner {

  private final Function<PlacementInput, PlacementSettings> settingsOf;

  /** Creates a planner that takes its settings from the objective of the input. */
  public BalancingPlanner() {
    this(input -> PlacementSettings.of(input.objective()));
  }

  /**
   * Creates a planner.
   *
   * @param settingsOf returns the settings for an input; not null
   */
  public BalancingPlanner(Function<PlacementInput, PlacementSettings> settingsOf) {
    this.settingsOf = settingsOf;
  }

  @Override
  public PlacementPlan plan(PlacementInput input) {
    PlacementSettings settings = settingsOf.apply(input);
    Assignment assignment = new Assignment(input);
    if (assignment.usableTargets() == 0) {
      return assignment.toPlan();
    }
    MoveBudget budget = input.budget();
    new OwnerRepair(assignment).run(budget.drainMoves());
    BitSet markedHot = markedHot(input);
    new OwnerBalancer(
            assignment,
            settings.trigger(input.quietMs(), assignment.usableTargets()),
            settings.goal(input.quietMs()),
            shard -> markedHot.get(shard) || assignment.load(shard) > settings.hotFactor(),
            budget.rebalanceMoves())
        .run();
    new StandbyPlanner(assignment, budget.standbyMoves()).run();
    return assignment.toPlan();
  }

  private static BitSet markedHot(PlacementInput input) {
    BitSet hot = new BitSet(input.table().shardCount());
    for (int shard : input.hotShards()) {
      hot.set(shard);
    }
    return hot;
  }
}
