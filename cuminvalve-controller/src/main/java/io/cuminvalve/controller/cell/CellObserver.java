package io.cuminvalve.controller.cell;

import io.cuminvalve.core.authority.ControllerEffect;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.target.TargetOutcome;

/**
 * Learns what happens in a cell, for operators. Called on several threads.
 *
 * @since 0.1
 */
public interface CellObserver {

  /**
   * The cell reports a change of state.
   *
   * @param cell the cell; not null
   * @param version the newest table version; not null
   * @param change the change; not null
   */
  void onStateChanged(CellId cell, TableVersion version, ControllerEffect.StateChanged change);

  /**
   * A call to the store has ended.
   *
   * @param cell the cell; not null
   * @param call the kind of call; not null
   * @param outcome how it ended; not null
   */
  void onStoreOutcome(CellId cell, String call, StoreOutcome outcome);

  /**
   * An order to a target has ended.
   *
   * @param cell the cell; not null
   * @param order the kind of order; not null
   * @param outcome how it ended; not null
   */
  void onTargetOutcome(CellId cell, String order, TargetOutcome outcome);
}
