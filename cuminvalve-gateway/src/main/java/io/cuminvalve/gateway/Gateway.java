package io.cuminvalve.gateway;

import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.gateway.control.FleetControl;
import io.cuminvalve.gateway.control.StoreCalls;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.observe.MetricsPage;
import io.cuminvalve.gateway.observe.RequestMetrics;
import io.cuminvalve.gateway.observe.StoreCallMetrics;
import io.cuminvalve.gateway.observe.UnknownFields;
import io.cuminvalve.gateway.traffic.GatewayServer;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.kernel.SuspensionClock;
import io.cuminvalve.ports.store.StoreCallGuard;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * One gateway: listens for callers, takes part in the fleet, ends in a planned way.
 *
 * @since 0.2
 */
public final class Gateway {

  /** Assumed until the holder of the term has counted them. */
  private static final int ASSUMED_PROCESSES = 10;

  /** The most lines of one event in one second: 6 KB; what goes beyond is counted. */
  private static final int LOG_LINES_PER_SECOND = 30;

  /**
   * For how long the store may be back before a gateway asks it again. The holder goes on for 9.5 s
   * without it and has moves to write; the others hear the holder meanwhile. One that knows nothing
   * yet serves nobody. Fleets of 95 refused gateways make some 60 calls a second so.
   */
  private static final long HOLDER_STORE_PAUSE_MS = 250;

  private static final long STORE_PAUSE_MS = 2_000;
  private static final long UNUSABLE_STORE_PAUSE_MS = 500;

  private static final long STOP_POLL_MS = 20;
  private static final double MS_PER_SECOND = 1000.0;

  private final GatewaySettings settings;
  private final SuspensionClock clock = SuspensionClock.system(this::onSuspended);
  private final DecisionLog log = new DecisionLog(clock, LOG_LINES_PER_SECOND, Logger::info);
  private final RequestMetrics metrics = new RequestMetrics();
  private final StoreCallMetrics storeCalls = new StoreCallMetrics();
  private final UnknownFields unknownFields = new UnknownFields(log);
  private final MetricsPage page = new MetricsPage(metrics, storeCalls, unknownFields, log);
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
   * @param ports makes what it needs from outside, whose calls of the store are guarded; not null
   */
  public Gateway(
      GatewaySettings settings, SharedKey sharedKey, Function<StoreCallGuard, GatewayPorts> ports) {
    this.settings = settings;
    StoreCalls guard =
        new StoreCalls(clock, storeCalls, new SplittableRandom(), this::longestStorePauseMs);
    GatewayPorts guarded = ports.apply(guard);
    this.server =
        new GatewayServer(
            settings,
            state,
            clock,
            log,
            metrics,
            guarded.answers(),
            unknownFields,
            page,
            this::isReady,
            () -> stopping);
    this.fleet =
        new FleetControl(
            guarded, settings, sharedKey, state, control, clock, log, server.reports());
  }

  private long longestStorePauseMs() {
    if (fleet.holdsTerm()) {
      return HOLDER_STORE_PAUSE_MS;
    }
    return state.current().isUsable() ? STORE_PAUSE_MS : UNUSABLE_STORE_PAUSE_MS;
  }

  private void addGauges() {
    page.addGauge(
        "cuminvalve_configuration_version",
        "Version of the configuration in force; 0 if there is none.",
        () -> state.current().configuration().map(RoutingConfiguration::version).orElse(0L));
    page.addGauge(
        "cuminvalve_configuration_age_seconds",
        "For how long neither the store nor the holder has confirmed the configuration.",
        () -> fleet.configurationAgeMs() / MS_PER_SECOND);
    page.addGauge("cuminvalve_targets", "Targets known.", () -> state.current().targets().size());
    page.addGauge(
        "cuminvalve_targets_age_seconds",
        "How old the newest confirmation of the targets is.",
        () -> clock.upper().sinceMs(state.targetsConfirmed()) / MS_PER_SECOND);
    page.addGauge(
        "cuminvalve_owners_term",
        "Term of the holder that told the owners; 0 if they were read from the store.",
        () -> state.current().ownersVersion().term());
    page.addGauge(
        "cuminvalve_keys_without_lease",
        "Keys of all services whose owner has no lease now.",
        () -> state.current().keysWithoutLease());
    page.addGauge("cuminvalve_gateways", "Gateways that run.", () -> state.current().processes());
    page.addGauge(
        "cuminvalve_holds_term",
        "1 if this process holds the term, else 0.",
        () -> fleet.holdsTerm() ? 1 : 0);
    page.addGauge(
        "cuminvalve_suspended_seconds",
        "For how long the host was suspended since the process started, as far as is known.",
        () -> clock.suspendedMs() / MS_PER_SECOND);
    page.addGauge(
        "cuminvalve_log_suppressed_lines",
        "Lines of the log that were not written.",
        log::suppressedLines);
  }

  /** Time went on without this process: nothing that it believes counts before it has looked. */
  private void onSuspended(long forMs) {
    control.execute(
        () -> {
          log.write("host_suspended", "for_ms={}", forMs);
          fleet.onWoken();
        });
  }

  /** Starts. */
  public void start() {
    addGauges();
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
