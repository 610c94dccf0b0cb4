package io.cuminvalve.router.wiring;

import io.cuminvalve.core.authority.RoutingView;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.control.CellRoutes;
import io.cuminvalve.router.control.ConfigurationInstaller;
import java.util.List;
import java.util.Optional;

/**
 * Whether the platform's balancer should send callers to this router.
 *
 * @since 0.1
 */
public final class Readiness {

  private final List<CellId> cells;
  private final CellRoutes routes;
  private final ConfigurationInstaller installer;
  private final MillisClock clock;
  private volatile boolean stopping;

  /**
   * Creates the answer of a router that is not stopping.
   *
   * @param cells the cells that it serves; not null
   * @param routes shows their views; not null
   * @param installer shows the configuration in force; not null
   * @param clock this router's clock; not null
   */
  public Readiness(
      List<CellId> cells, CellRoutes routes, ConfigurationInstaller installer, MillisClock clock) {
    this.cells = List.copyOf(cells);
    this.routes = routes;
    this.installer = installer;
    this.clock = clock;
  }

  /** Turns callers away for good. */
  public void beginStop() {
    stopping = true;
  }

  /**
   * Returns why callers should go elsewhere.
   *
   * @return empty if this router wants them
   */
  public Optional<String> problem() {
    if (stopping) {
      return Optional.of("stopping");
    }
    if (installer.rules() == null) {
      return Optional.of("no configuration yet");
    }
    return cells.stream().filter(cell -> !isLeased(cell)).findFirst().map(Readiness::noLease);
  }

  private boolean isLeased(CellId cell) {
    RoutingView view = routes.view(cell);
    return view.hasTable() && view.leaseEndMs() > clock.nowMs();
  }

  private static String noLease(CellId cell) {
    return "no route lease for cell " + cell;
  }
}
