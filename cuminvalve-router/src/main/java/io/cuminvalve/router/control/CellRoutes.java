package io.cuminvalve.router.control;

import io.cuminvalve.core.authority.DispatchGate;
import io.cuminvalve.core.authority.GrantClock;
import io.cuminvalve.core.authority.RoutingView;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.inventory.GrantCapability;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.GrantStamp;
import io.cuminvalve.router.request.Slot;
import io.cuminvalve.router.target.TargetHeaders;
import io.cuminvalve.router.target.TargetRecord;
import java.util.Map;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpFields;

/**
 * Where traffic threads find the owner of a shard and issue the grant of each request.
 *
 * @since 0.1
 */
public final class CellRoutes implements GrantStamp {

  private final Map<CellId, DispatchGate> gates;
  private final Function<CellId, GrantCapability> capabilities;
  private final MillisClock clock;

  /**
   * Creates the routes of a router's cells.
   *
   * @param gates the gate of each cell; not null, copied
   * @param capabilities returns what the targets of a cell check; not null
   * @param clock this router's clock; not null
   */
  public CellRoutes(
      Map<CellId, DispatchGate> gates,
      Function<CellId, GrantCapability> capabilities,
      MillisClock clock) {
    this.gates = Map.copyOf(gates);
    this.capabilities = capabilities;
    this.clock = clock;
  }

  /**
   * Returns the cell of a service.
   *
   * @param service the service; not null
   * @return never null
   */
  public static CellId cellOf(ServiceId service) {
    return new CellId(service.value());
  }

  /**
   * Returns the current view of a cell.
   *
   * @param cell the cell; not null
   * @return an empty view if this router does not serve the cell
   */
  public RoutingView view(CellId cell) {
    DispatchGate gate = gates.get(cell);
    return gate == null ? RoutingView.empty() : gate.view();
  }

  @Override
  public boolean issue(Slot slot, HttpFields.Mutable headers) {
    RoutingView view = view(slot.cell());
    if (!owns(view, slot)) {
      return false;
    }
    boolean checksExpiry =
        capabilities.apply(slot.cell()) == GrantCapability.CHECKS_TOKEN_AND_EXPIRY;
    long nowMs = clock.nowMs();
    GrantClock reading = checksExpiry ? slot.target().reading() : readingWithoutClock(nowMs);
    if (checksExpiry && !reading.incarnation().isKnown()) {
      return false;
    }
    DispatchGate gate = gates.get(slot.cell());
    long expiryMs = gate.issueExpiryMs(view, slot.shard(), reading, nowMs);
    if (expiryMs == DispatchGate.NOT_ISSUED) {
      return false;
    }
    headers.put(TargetHeaders.SHARD, slot.shard());
    headers.put(TargetHeaders.TOKEN, view.table().token(slot.shard()));
    if (checksExpiry) {
      headers.put(TargetHeaders.EXPIRY, expiryMs);
      headers.put(TargetHeaders.EXPECTED_INCARNATION, reading.incarnation().value());
    }
    return true;
  }

  /** Stands for the clock of a target that checks no expiry. */
  private static GrantClock readingWithoutClock(long nowMs) {
    return new GrantClock(Incarnation.UNKNOWN, 0, nowMs);
  }

  private static boolean owns(RoutingView view, Slot slot) {
    if (!view.hasTable() || slot.shard() >= view.table().shardCount()) {
      return false;
    }
    TargetRecord target = slot.target();
    ShardTable table = view.table();
    int owner = table.owner(slot.shard());
    return owner != ShardTable.NO_TARGET && table.targets().get(owner).equals(target.id());
  }
}
