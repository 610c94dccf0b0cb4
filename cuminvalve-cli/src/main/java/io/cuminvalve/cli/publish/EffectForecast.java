package io.cuminvalve.cli.publish;

import io.cuminvalve.core.authority.StoreKeys;
import io.cuminvalve.core.authority.TableCodec;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.inventory.Instance;
import io.cuminvalve.core.inventory.Inventory;
import io.cuminvalve.core.inventory.Service;
import io.cuminvalve.core.placement.MoveBudget;
import io.cuminvalve.core.placement.PlacementInput;
import io.cuminvalve.core.placement.PlacementPlan;
import io.cuminvalve.core.placement.PlacementPlanner;
import io.cuminvalve.core.placement.PlacementTarget;
import io.cuminvalve.core.placement.TargetState;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.ports.store.KeyValueStore;
import io.cuminvalve.ports.store.ReadResult;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Tells beforehand what an inventory would do to the assignments, with the planner that the
 * controller uses.
 *
 * @since 0.1
 */
public final class EffectForecast {

  /** Long enough for the planner to consider the targets settled. */
  private static final long SETTLED_MS = 86_400_000;

  private final KeyValueStore store;
  private final TableCodec codec;
  private final PlacementPlanner planner;
  private final Supplier<Map<TargetId, TargetState>> states;

  /**
   * Creates a forecast.
   *
   * @param store holds the tables; not null
   * @param codec reads them; not null
   * @param planner the planner of the controller; not null
   * @param states gives what the controllers know of the targets; one that is missing counts as
   *     ACTIVE; not null
   */
  public EffectForecast(
      KeyValueStore store,
      TableCodec codec,
      PlacementPlanner planner,
      Supplier<Map<TargetId, TargetState>> states) {
    this.store = store;
    this.codec = codec;
    this.planner = planner;
    this.states = states;
  }

  /**
   * Forecasts the effect of an inventory.
   *
   * @param inventory the inventory; not null
   * @return one entry for each service
   * @throws CodedException with code UNAVAILABLE if the store does not answer
   */
  public List<PlacementEffect> of(Inventory inventory) {
    Map<TargetId, TargetState> known = states.get();
    return inventory.services().stream().map(service -> effect(inventory, service, known)).toList();
  }

  private PlacementEffect effect(
      Inventory inventory, Service service, Map<TargetId, TargetState> known) {
    CellId cell = new CellId(service.id().value());
    ShardTable table = readTable(cell, service.shardCount());
    List<PlacementTarget> targets =
        inventory.instancesOf(service.id()).stream()
            .map(instance -> target(instance, known))
            .toList();
    PlacementInput input =
        new PlacementInput(
            table,
            targets,
            new double[0],
            new int[0],
            service.objective(),
            MoveBudget.UNLIMITED,
            SETTLED_MS);
    PlacementPlan plan = planner.plan(input);
    return new PlacementEffect(
        cell, plan.ownerMoves(), table.shardCount(), plan.imbalanceBefore(), plan.imbalanceAfter());
  }

  private static PlacementTarget target(Instance instance, Map<TargetId, TargetState> known) {
    return new PlacementTarget(
        instance.id(),
        instance.dataCentre(),
        instance.slots(),
        known.getOrDefault(instance.id(), TargetState.ACTIVE),
        1);
  }

  private ShardTable readTable(CellId cell, int shardCount) {
    ReadResult read = store.read(StoreKeys.table(cell)).join();
    if (!read.isDone()) {
      throw new CodedException(ErrorCode.UNAVAILABLE, "the store does not answer a read");
    }
    return read.value()
        .map(value -> codec.decodeTable(value.value()).table())
        .orElseGet(() -> ShardTable.unassigned(cell, shardCount, 0));
  }
}
