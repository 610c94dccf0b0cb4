package io.cuminvalve.gateway;

import io.cuminvalve.gateway.control.FleetControl;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.traffic.GatewayServer;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.SharedKey;

/**
 * One gateway: listens for callers, takes part in the fleet, ends in a planned way.
 *
 * @since 0.2
 */
public final class Gateway {

  /** Assumed until the holder of the term has counted them. */
  private static final int ASSUMED_PROCESSES = 10;

  /** The most lines of the log in one second; what goes beyond is counted. */
  private static final int LOG_LINES_PER_SECOND = 60;

  private static final long STOP_POLL_MS = 20;

  private final GatewaySettings settings;
  private final MillisClock clock = MillisClock.system();
  private final DecisionLog log = new DecisionLog(clock, LOG_LINES_PER_SECOND);
  private final RoutingState state = new RoutingState(ASSUMED_PROCESSES);
  private final ControlThread control = new ControlThread("control", FailureHandler.logging());
  private final GatewayServer server;
  private final FleetControl fleet;
  private volatile boolean stopping;

  /**
   * Creates a gateway that does not listen yet.
   *
   * @param settings what it has to know; not null
   * @param sharedKey proves that a peer belongs to the fleet; not null
   * @param ports what it needs from outside; not null
   */
  public Gateway(GatewaySettings settings, SharedKey sharedKey, GatewayPorts ports) {
    this.settings = settings;
    this.server = new GatewayServer(settings, state, clock, log, this::isReady, () -> stopping);
    this.fleet =
        new FleetControl(ports, settings, sharedKey, state, control, clock, log, server.reports());
  }

  /** Starts. */
  public void start() {
    server.start();
    fleet.start();
    log.write(
        "started",
        "process={} data_centre={} callers={}",
        settings.process(),
        settings.dataCentre(),
        settings.callerAddress());
  }

  /**
   * Tells whether callers may be sent here.
   *
   * @return false before the configuration and the targets are known, and once it stops
   */
  public boolean isReady() {
    return !stopping && state.current().isUsable();
  }

  /**
   * Returns the server, to learn its ports.
   *
   * @return never null
   */
  public GatewayServer server() {
    return server;
  }

  /**
   * Stops in a planned way: hands the term over, goes on serving until callers have been led
   * elsewhere and requests have ended, then closes everything.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void stop() throws InterruptedException {
    final long startMs = clock.nowMs();
    stopping = true;
    log.write("stopping", "in_flight={}", server.inFlight());
    fleet.resign();
    while (clock.nowMs() - startMs < settings.stopLimitMs()) {
      if (clock.nowMs() - startMs >= settings.stopNoticeMs()) {
        server.closeIdleConnections();
        if (server.inFlight() == 0) {
          break;
        }
      }
      Thread.sleep(STOP_POLL_MS);
    }
    log.write("stopped", "in_flight={} after_ms={}", server.inFlight(), clock.nowMs() - startMs);
    fleet.retire();
    close();
  }

  /** Closes everything at once, whatever is in progress. */
  public void close() {
    server.stop();
    fleet.close();
    control.close();
  }
}
