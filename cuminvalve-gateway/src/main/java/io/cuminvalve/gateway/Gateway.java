package io.cuminvalve.gateway;

import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.core.stop.ReadyPeers;
import io.cuminvalve.core.stop.StopPolicy;
import io.cuminvalve.core.stop.ZoneSuccession;
import io.cuminvalve.gateway.control.FleetControl;
import io.cuminvalve.gateway.control.StoreCircuitBreaker;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.observe.MetricsPage;
import io.cuminvalve.gateway.observe.RequestMetrics;
import io.cuminvalve.gateway.observe.StoreCallMetrics;
import io.cuminvalve.gateway.observe.UnknownFields;
import io.cuminvalve.gateway.traffic.GatewayServer;
import io.cuminvalve.gateway.traffic.RoutingState;
import io.cuminvalve.gateway.traffic.StopProgress;
import io.cuminvalve.kernel.BootClock;
import io.cuminvalve.kernel.ControlThread;
import io.cuminvalve.kernel.FailureHandler;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.kernel.SuspensionClock;
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.ports.store.StoreCallGuard;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * A gateway process: serves callers, takes part in the fleet and shuts down gracefully.
 *
 * @since 0.2
 */
public final class Gateway {

  /** Assumed number of gateways until the holder of the term reports it. */
  private static final int INITIAL_GATEWAY_COUNT = 10;

  /** Maximum log lines per event and second, about 6 KB. Further lines are only counted. */
  private static final int LOG_LINES_PER_SECOND = 30;

  /**
   * Maximum backoff of store calls, which bounds the time until a gateway detects that the store
   * has recovered. It is short for the holder, which continues for 9.5 s without the store and has
   * moves to write. Other gateways receive updates from the holder meanwhile. A gateway that is not
   * usable yet serves no callers, so it retries sooner. With these values a fleet of 95 refused
   * gateways makes about 60 calls per second.
   */
  private static final long HOLDER_STORE_BACKOFF_MS = 250;

  private static final long STORE_BACKOFF_MS = 2_000;
  private static final long UNUSABLE_STORE_BACKOFF_MS = 500;

  private static final long STOP_POLL_MS = 20;

  /** A request may be on its way on a connection that was used within this time. */
  private static final long SETTLED_MS = 1_000;

  /** Two hellos of the largest fleet, so that a single loss does not matter. */
  private static final long RELAYS_MAX_AGE_MS = 1_500;

  private static final double MS_PER_SECOND = 1000.0;

  private final GatewaySettings settings;
  private final ControlThread control = new ControlThread("control", FailureHandler.logging());
  private final BootClock bootClock = BootClock.system(this::onBootClockFailed);
  private final SuspensionClock clock = SuspensionClock.system(bootClock, this::onSuspended);
  private final DecisionLog log = new DecisionLog(clock, LOG_LINES_PER_SECOND, Logger::info);
  private final RequestMetrics metrics = new RequestMetrics();
  private final StoreCallMetrics storeCalls = new StoreCallMetrics();
  private final UnknownFields unknownFields = new UnknownFields(log);
  private final MetricsPage metricsPage = new MetricsPage(metrics, storeCalls, unknownFields, log);
  private final RoutingState state = new RoutingState(INITIAL_GATEWAY_COUNT);
  private final GatewayServer server;
  private final FleetControl fleet;
  private final StopProgress stop;
  private ZoneSuccession succession;

  /**
   * Creates a gateway that is not started.
   *
   * @param settings the settings; not null
   * @param sharedKey authenticates the peers of the fleet; not null
   * @param ports creates the external dependencies, with store calls that pass the guard; not null
   */
  public Gateway(
      GatewaySettings settings, SharedKey sharedKey, Function<StoreCallGuard, GatewayPorts> ports) {
    this.settings = settings;
    this.stop = new StopProgress(clock, settings.stopPolicy());
    state.setEvacuationGraceMs(settings.evacuationGraceMs());
    StoreCircuitBreaker circuitBreaker =
        new StoreCircuitBreaker(clock, storeCalls, new SplittableRandom(), this::maxStoreBackoffMs);
    GatewayPorts guarded = ports.apply(circuitBreaker);
    this.server =
        new GatewayServer(
            settings,
            state,
            clock,
            log,
            metrics,
            guarded.answers(),
            unknownFields,
            metricsPage,
            sharedKey,
            this::isReady,
            stop);
    this.fleet =
        new FleetControl(
            guarded, settings, sharedKey, state, control, clock, log, server.reports());
  }

  private long maxStoreBackoffMs() {
    if (fleet.holdsTerm()) {
      return HOLDER_STORE_BACKOFF_MS;
    }
    return state.current().isUsable() ? STORE_BACKOFF_MS : UNUSABLE_STORE_BACKOFF_MS;
  }

  private void addGauges() {
    metricsPage.addGauge(
        "cuminvalve_configuration_version",
        "Version of the configuration in force; 0 if there is none.",
        () -> state.current().configuration().map(RoutingConfiguration::version).orElse(0L));
    metricsPage.addGauge(
        "cuminvalve_configuration_age_seconds",
        "For how long neither the store nor the holder has confirmed the configuration.",
        () -> fleet.configurationAgeMs() / MS_PER_SECOND);
    metricsPage.addGauge(
        "cuminvalve_targets", "Targets known.", () -> state.current().targets().size());
    metricsPage.addGauge(
        "cuminvalve_evacuated_data_centres",
        "Data centres whose targets get no requests, since operators have evacuated them.",
        () -> state.current().evacuations().dataCentres().size());
    metricsPage.addGauge(
        "cuminvalve_targets_age_seconds",
        "How old the newest confirmation of the targets is.",
        () -> clock.upper().sinceMs(state.targetsConfirmed()) / MS_PER_SECOND);
    metricsPage.addGauge(
        "cuminvalve_owners_term",
        "Term of the holder that told the owners; 0 if they were read from the store.",
        () -> state.current().ownersVersion().term());
    metricsPage.addGauge(
        "cuminvalve_keys_without_lease",
        "Keys of all services whose owner has no lease now.",
        () -> state.current().keysWithoutLease());
    metricsPage.addGauge(
        "cuminvalve_gateways", "Gateways that run.", () -> state.current().processes());
    metricsPage.addGauge(
        "cuminvalve_wait_estimate_seconds",
        "Estimated wait of the request that was estimated last for places that are scarce.",
        () -> server.reports().waitEstimateMs() / MS_PER_SECOND);
    metricsPage.addGauge(
        "cuminvalve_holds_term",
        "1 if this process holds the term, else 0.",
        () -> fleet.holdsTerm() ? 1 : 0);
    metricsPage.addGauge(
        "cuminvalve_suspended_seconds",
        "For how long the host was suspended since the process started, as far as is known.",
        () -> clock.suspendedMs() / MS_PER_SECOND);
    metricsPage.addGauge(
        "cuminvalve_boot_clock_available",
        "1 if suspensions are found whatever the wall clock shows; 0 if it can hide them.",
        () -> bootClock.failure().isEmpty() ? 1 : 0);
    metricsPage.addGauge(
        "cuminvalve_log_suppressed_lines",
        "Lines of the log that were not written.",
        log::suppressedLines);
  }

  /** Handles a suspension of the host. Time-limited state is not valid until it is confirmed. */
  private void onSuspended(long forMs) {
    control.execute(
        () -> {
          log.write("host_suspended", "for_ms={}", forMs);
          fleet.onWoken();
        });
  }

  /** Handles a boot clock that fails while the process runs. */
  private void onBootClockFailed(String reason) {
    control.execute(() -> logBootClock(Optional.of(reason)));
  }

  private void logBootClock(Optional<String> failure) {
    failure.ifPresentOrElse(
        reason -> log.write("boot_clock", "available=false why=\"{}\"", reason),
        () -> log.write("boot_clock", "available=true"));
  }

  /** Adds the gauges and starts the server and the fleet control. */
  public void start() {
    addGauges();
    logBootClock(bootClock.failure());
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
   * Returns whether this gateway is ready to serve callers.
   *
   * @return false before the configuration and the targets are known and after shutdown has begun
   */
  public boolean isReady() {
    return !stop.isStopping() && state.current().isUsable();
  }

  /**
   * Returns the server, which reports its ports.
   *
   * @return never null
   */
  public GatewayServer server() {
    return server;
  }

  /**
   * Shuts down gracefully: releases the term, continues to serve until callers have been redirected
   * and requests have completed, then closes all components. Requests that are left at the limit
   * are ended by this gateway before that.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void stop() throws InterruptedException {
    UpperTime now = clock.upper();
    succession =
        server.succession(
            state.relayPeersSince(now.minusMs(ReadyPeers.RESTART_MS)),
            state.relayPeersSince(now.minusMs(settings.stopPolicy().noticeMs())));
    stop.begin();
    log.write("stopping", "in_flight={}", server.inFlight());
    fleet.resign();
    awaitRequests(settings.stopPolicy());
    awaitResponses(settings.stopPolicy());
    log.write(
        "stopped",
        "in_flight={} {} after_ms={}",
        server.inFlight(),
        server.inFlightByPhase(),
        stop.sinceMs());
    fleet.retire();
    close();
  }

  /** Waits until callers have been redirected and requests have completed, or the limit. */
  private void awaitRequests(StopPolicy policy) throws InterruptedException {
    boolean waits = false;
    while (stop.sinceMs() < policy.requestsEndMs()) {
      if (policy.isNoticeOver(stop.sinceMs())) {
        server.closeConnectionsIdleFor(SETTLED_MS);
        boolean takenOver = isTakenOver();
        if (takenOver && server.closeIfIdle()) {
          return;
        }
        if (!takenOver && !waits) {
          log.write("stop_waits_for_others", "after_ms={}", stop.sinceMs());
        }
        waits = !takenOver;
      }
      Thread.sleep(STOP_POLL_MS);
    }
    log.write("stop_limit_reached", "in_flight={} {}", server.inFlight(), server.inFlightByPhase());
    server.endRequests();
  }

  /** Returns whether callers that are directed to this data centre find another gateway. */
  private boolean isTakenOver() {
    boolean recent = clock.upper().sinceMs(state.relayPeersHeard()) <= RELAYS_MAX_AGE_MS;
    return succession.isTakenOver(recent ? Optional.of(state.relayPeers()) : Optional.empty());
  }

  /** Waits until the responses of requests that were ended or refused have been written. */
  private void awaitResponses(StopPolicy policy) throws InterruptedException {
    while (server.inFlight() > 0 && stop.sinceMs() < policy.limitMs()) {
      Thread.sleep(STOP_POLL_MS);
    }
    server.closeIdleConnections();
  }

  /** Closes all components immediately, without waiting for requests in progress. */
  public void close() {
    server.stop();
    fleet.close();
    control.close();
  }
}
