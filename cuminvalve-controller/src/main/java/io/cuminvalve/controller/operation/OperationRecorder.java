package io.cuminvalve.controller.operation;

import io.cuminvalve.config.admin.ChangeRecord;
import io.cuminvalve.controller.cell.CellObserver;
import io.cuminvalve.core.authority.ControllerEffect;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.ControllerId;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.target.TargetOutcome;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/**
 * Counts and remembers what happens in the cells. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class OperationRecorder implements CellObserver {

  private final ControllerId controller;
  private final ControllerMetrics metrics;
  private final ChangeHistory history;
  private final LongSupplier epochMs;
  private final Map<CellId, StoreOutcome> lastStoreOutcomes = new ConcurrentHashMap<>();

  /**
   * Creates a recorder.
   *
   * @param controller this controller; not null
   * @param metrics counts; not null
   * @param history remembers changes; not null
   * @param epochMs the time of day, only shown to operators; milliseconds since 1970; not null
   */
  public OperationRecorder(
      ControllerId controller,
      ControllerMetrics metrics,
      ChangeHistory history,
      LongSupplier epochMs) {
    this.controller = controller;
    this.metrics = metrics;
    this.history = history;
    this.epochMs = epochMs;
  }

  @Override
  public void onStateChanged(
      CellId cell, TableVersion version, ControllerEffect.StateChanged change) {
    metrics.countStateChange(cell, change.event());
    record(cell, version, change.event(), controller.value(), change.detail());
  }

  @Override
  public void onStoreOutcome(CellId cell, String call, StoreOutcome outcome) {
    metrics.countStoreCall(cell, call, outcome);
    lastStoreOutcomes.put(cell, outcome);
  }

  @Override
  public void onTargetOutcome(CellId cell, String order, TargetOutcome outcome) {
    metrics.countTargetOrder(cell, order, outcome);
  }

  /**
   * Remembers a change that somebody ordered.
   *
   * @param cell the cell; not null
   * @param version the newest table version; not null
   * @param kind what changed; not null
   * @param actor who ordered it; not null
   * @param detail why and what; not null
   */
  public void record(CellId cell, TableVersion version, String kind, String actor, String detail) {
    history.add(
        new ChangeRecord(
            cell, epochMs.getAsLong(), version.toString(), kind, actor, detail, 0, detail));
  }

  /**
   * Tells whether the store answered the last call for a cell.
   *
   * @param cell the cell; not null
   * @return true also before the first call
   */
  public boolean isStoreReachable(CellId cell) {
    return Optional.ofNullable(lastStoreOutcomes.get(cell))
        .map(last -> last == StoreOutcome.DONE || last == StoreOutcome.CONFLICT)
        .orElse(true);
  }
}
