package io.cuminvalve.controller.operation;

import io.cuminvalve.core.authority.CellStatus;
import io.cuminvalve.core.authority.ControllerRole;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.ports.store.StoreOutcome;
import io.cuminvalve.ports.target.TargetOutcome;
import io.cuminvalve.wire.PeerNetworkCounters;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * The metrics of a controller.
 *
 * @since 0.1
 */
public final class ControllerMetrics {

  private static final String CELL = "cell";

  private final Counter stateChanges;
  private final Counter storeCalls;
  private final Counter targetOrders;
  private final Counter failures;
  private final Gauge leading;
  private final Gauge term;
  private final Gauge configRevision;
  private final Gauge movingShards;
  private final Gauge routersBehind;
  private final Gauge peerMessages;

  /**
   * Registers the metrics.
   *
   * @param registry where to; not null
   */
  public ControllerMetrics(PrometheusRegistry registry) {
    stateChanges =
        counter(registry, "cuminvalve_state_changes", "Changes of state.", CELL, "event");
    storeCalls =
        counter(registry, "cuminvalve_store_calls", "Calls to the store.", CELL, "call", "outcome");
    targetOrders =
        counter(
            registry, "cuminvalve_target_orders", "Orders to targets.", CELL, "order", "outcome");
    failures =
        counter(registry, "cuminvalve_uncaught_failures", "Failures nobody caught.", "executor");
    leading = gauge(registry, "cuminvalve_leading", "1 while it holds or takes the term.", CELL);
    term = gauge(registry, "cuminvalve_term", "The highest term known.", CELL);
    configRevision =
        gauge(registry, "cuminvalve_config_revision", "The newest configuration.", CELL);
    movingShards =
        gauge(registry, "cuminvalve_moving_shards", "Shards waiting for a new owner.", CELL);
    routersBehind =
        gauge(
            registry,
            "cuminvalve_routers_behind",
            "Registered routers that lack the newest table or configuration.",
            CELL);
    peerMessages =
        gauge(registry, "cuminvalve_peer_messages", "Messages of peers since start.", "kind");
  }

  /**
   * Counts a change of state.
   *
   * @param cell the cell; not null
   * @param event its name; not null
   */
  public void countStateChange(CellId cell, String event) {
    stateChanges.labelValues(cell.value(), event).inc();
  }

  /**
   * Counts a call to the store.
   *
   * @param cell the cell; not null
   * @param call the kind of call; not null
   * @param outcome how it ended; not null
   */
  public void countStoreCall(CellId cell, String call, StoreOutcome outcome) {
    storeCalls.labelValues(cell.value(), call, outcome.name()).inc();
  }

  /**
   * Counts an order to a target.
   *
   * @param cell the cell; not null
   * @param order the kind of order; not null
   * @param outcome how it ended; not null
   */
  public void countTargetOrder(CellId cell, String order, TargetOutcome outcome) {
    targetOrders.labelValues(cell.value(), order, outcome.name()).inc();
  }

  /**
   * Counts a failure that nobody caught.
   *
   * @param executor the executor; not null
   */
  public void countFailure(String executor) {
    failures.labelValues(executor).inc();
  }

  /**
   * Shows the state of a cell.
   *
   * @param cell the cell; not null
   * @param status its state; not null
   */
  public void show(CellId cell, CellStatus status) {
    String name = cell.value();
    leading.labelValues(name).set(status.role() == ControllerRole.STANDBY ? 0 : 1);
    term.labelValues(name).set(status.term());
    configRevision.labelValues(name).set(status.configRevision());
    movingShards.labelValues(name).set(status.movingShards());
    routersBehind.labelValues(name).set(countBehind(status));
  }

  /**
   * Shows what the network of peers counted.
   *
   * @param counters the counters; not null
   */
  public void show(PeerNetworkCounters counters) {
    peerMessages.labelValues("sent").set(counters.messagesSent());
    peerMessages.labelValues("received").set(counters.messagesReceived());
    peerMessages.labelValues("dropped").set(counters.messagesDropped());
    peerMessages.labelValues("rejectedConnections").set(counters.connectionsRejected());
  }

  private static long countBehind(CellStatus status) {
    return status.routers().stream()
        .filter(
            router ->
                status.issued().isNewerThan(router.version())
                    || router.configRevision() < status.configRevision())
        .count();
  }

  private static Counter counter(
      PrometheusRegistry registry, String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  private static Gauge gauge(
      PrometheusRegistry registry, String name, String help, String... labels) {
    return Gauge.builder().name(name).help(help).labelNames(labels).register(registry);
  }
}
