package io.cuminvalve.router.wiring;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.cuminvalve.admin.AdminRequest;
import io.cuminvalve.admin.AdminResponse;
import io.cuminvalve.config.JsonMappers;
import io.cuminvalve.config.admin.AdminPaths;
import io.cuminvalve.core.authority.RoutingView;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.control.CellRoutes;
import io.cuminvalve.router.control.ConfigurationInstaller;
import io.cuminvalve.router.observe.RecentRequests;
import java.util.List;

/** What a router tells operators of itself and of recent requests. */
final class OperatorPages {

  private static final JsonMapper MAPPER = JsonMappers.strict();
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final RouterId router;
  private final List<CellId> cells;
  private final RecentRequests recent;
  private final CellRoutes routes;
  private final ConfigurationInstaller installer;
  private final MillisClock clock;

  OperatorPages(
      RouterId router,
      List<CellId> cells,
      RecentRequests recent,
      CellRoutes routes,
      ConfigurationInstaller installer,
      MillisClock clock) {
    this.router = router;
    this.cells = cells;
    this.recent = recent;
    this.routes = routes;
    this.installer = installer;
    this.clock = clock;
  }

  /**
   * The state of the router.
   *
   * @param router its identifier
   * @param configRevision the configuration in force
   * @param cells the state of each cell
   */
  record Status(RouterId router, long configRevision, List<CellState> cells) {}

  /**
   * The state of one cell at this router.
   *
   * @param cell the cell
   * @param tableVersion the installed table
   * @param leaseRemainingMs how long the route lease still lasts; milliseconds, 0 if it does not
   */
  record CellState(CellId cell, String tableVersion, long leaseRemainingMs) {}

  /** Returns the state as JSON. */
  String status() {
    return encode(
        new Status(router, installer.revision(), cells.stream().map(this::stateOf).toList()));
  }

  /** Answers with what is known of the request that the path names. */
  AdminResponse request(AdminRequest request) {
    String id = request.path().substring(AdminPaths.REQUESTS.length());
    return recent
        .find(new RequestId(id))
        .map(record -> AdminResponse.json(OK, encode(record.report(router))))
        .orElseGet(() -> AdminResponse.text(NOT_FOUND, "unknown or forgotten request\n"));
  }

  private CellState stateOf(CellId cell) {
    RoutingView view = routes.view(cell);
    if (!view.hasTable()) {
      return new CellState(cell, "", 0);
    }
    long remainingMs = Math.max(0, view.leaseEndMs() - clock.nowMs());
    return new CellState(cell, view.table().version().toString(), remainingMs);
  }

  private static String encode(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new CodedException(ErrorCode.INTERNAL, "a report cannot be encoded", e);
    }
  }
}
