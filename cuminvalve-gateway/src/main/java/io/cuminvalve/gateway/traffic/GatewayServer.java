package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.buffer.BufferBudget;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.send.SendGate;
import io.cuminvalve.gateway.AnswerDecoder;
import io.cuminvalve.gateway.GatewaySettings;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.observe.MetricsPage;
import io.cuminvalve.gateway.observe.RequestMetrics;
import io.cuminvalve.gateway.observe.UnknownFields;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.ports.http.DaemonThreadPool;
import io.cuminvalve.router.caller.WatchingConnector;
import io.cuminvalve.router.target.TargetClient;
import io.cuminvalve.router.target.TargetClientLimits;
import io.cuminvalve.router.wiring.RequestTimers;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * The HTTP server of a gateway: accepts requests of callers, readiness checks and metrics scrapes.
 *
 * @since 0.2
 */
public final class GatewayServer {

  private static final int MAX_THREADS = 12;
  private static final int MIN_THREADS = 3;
  private static final int ACCEPT_BACKLOG = 512;
  private static final int MAX_HEADER_BYTES = 32 * 1024;

  /** Longer than callers keep a connection idle between two requests. */
  private static final long CALLER_IDLE_MS = 120_000;

  /** A running target accepts within a few milliseconds; an unreachable one never does. */
  private static final long CONNECT_TIMEOUT_MS = 300;

  /** Shorter than the 10 s after which targets are specified to close idle connections. */
  private static final long TARGET_IDLE_MS = 7_000;

  private static final int TARGET_THREADS = 8;

  private final Server server;
  private final ServerConnector callers;
  private final ServerConnector readiness;
  private final Optional<ServerConnector> scrapes;
  private final TargetClient client;
  private final RequestTimers timers = new RequestTimers();
  private final ConnectProbe probe = new ConnectProbe((int) CONNECT_TIMEOUT_MS);
  private final BodyBuffers buffers;
  private final TrafficReports reports;
  private final GatewayHandler handler;

  /**
   * Creates a server that does not listen yet.
   *
   * @param settings the settings, with the addresses to listen on; not null
   * @param state the routing state; not null
   * @param clock the time; not null
   * @param log the decision log; not null
   * @param metrics counts requests; not null
   * @param decoder decodes the signals in responses of targets; not null
   * @param unknownFields counts unknown header fields of responses; not null
   * @param page the metrics page; not null
   * @param ready returns whether callers may be directed to this gateway; not null
   * @param stopping returns whether this process is shutting down; not null
   */
  public GatewayServer(
      GatewaySettings settings,
      RoutingState state,
      MillisClock clock,
      DecisionLog log,
      RequestMetrics metrics,
      AnswerDecoder decoder,
      UnknownFields unknownFields,
      MetricsPage page,
      BooleanSupplier ready,
      BooleanSupplier stopping) {
    this(
        settings,
        state,
        clock,
        log,
        metrics,
        decoder,
        unknownFields,
        page,
        ready,
        stopping,
        BufferBudget.ofHeap(Runtime.getRuntime().maxMemory()));
  }

  GatewayServer(
      GatewaySettings settings,
      RoutingState state,
      MillisClock clock,
      DecisionLog log,
      RequestMetrics metrics,
      AnswerDecoder decoder,
      UnknownFields unknownFields,
      MetricsPage page,
      BooleanSupplier ready,
      BooleanSupplier stopping,
      BufferBudget budget) {
    SplittableRandom random = new SplittableRandom();
    this.client =
        new TargetClient(
            new TargetClientLimits(
                CONNECT_TIMEOUT_MS, TARGET_IDLE_MS, MAX_HEADER_BYTES, TARGET_THREADS, true),
            address -> Integer.MAX_VALUE);
    this.buffers = new BodyBuffers(budget);
    KeyLoadMeter keyLoad = new KeyLoadMeter();
    TargetQuotas quotas = new TargetQuotas(clock, log, timers, random.split());
    new ColdTargetDetector(state, quotas, settings.coldBound(), clock);
    TargetBackoffs backoffs = new TargetBackoffs(clock, timers, random.split(), log);
    TargetDepartures departures = new TargetDepartures(state);
    Dispatcher dispatcher =
        new Dispatcher(
            state,
            new DataCentreId(settings.dataCentre()),
            clock,
            random.split(),
            quotas,
            backoffs);
    backoffs.onStart(dispatcher::onBackoff);
    RequestQuarantine quarantine = new RequestQuarantine(clock);
    CrashDetector crashDetector = new CrashDetector(state, probe, timers, clock);
    ExchangeServices services =
        new ExchangeServices(
            state,
            dispatcher,
            new SendGate(clock),
            departures,
            quotas,
            new SignalReader(decoder, quotas, backoffs, departures, unknownFields, log),
            backoffs,
            buffers,
            client,
            new RetryBudgets(settings, clock),
            quarantine,
            crashDetector,
            keyLoad,
            timers,
            clock,
            settings.headers(),
            log,
            metrics,
            stopping);
    this.reports =
        new TrafficReports(
            keyLoad, dispatcher, quotas, backoffs, departures, quarantine, crashDetector);
    this.handler = new GatewayHandler(services, random.split());
    this.server = new Server(new DaemonThreadPool("caller", MAX_THREADS, MIN_THREADS));
    this.callers = connector(settings.callerAddress(), clock);
    this.readiness = plainConnector(settings.readinessAddress());
    this.scrapes = settings.metricsAddress().map(this::plainConnector);
    Handler traffic = new ReadinessHandler(readiness, settings.readinessPath(), ready, handler);
    server.setHandler(new MetricsHandler(scrapes, page, traffic));
    page.addGauge("cuminvalve_requests_in_flight", "Requests without an answer.", this::inFlight);
    page.addGauge(
        "cuminvalve_buffered_bytes",
        "Memory for buffered bodies of requests and responses.",
        buffers::usedBytes);
    page.addGauge(
        "cuminvalve_requests_waiting",
        "Requests that wait for a slot of a target.",
        dispatcher::waitingCount);
    page.addGauge(
        "cuminvalve_quarantined_requests",
        "Requests that go to no target, since several have ended under them.",
        quarantine::size);
    page.addGauge(
        "cuminvalve_limited_targets",
        "Targets that name how many requests a second they take from all gateways together.",
        quotas::size);
    page.addGauge(
        "cuminvalve_leaving_targets",
        "Targets that have said in an answer that they leave.",
        () -> state.current().leaving().size());
    page.addGauge(
        "cuminvalve_resting_targets",
        "Targets that have asked this gateway for rest.",
        () -> backoffs.remainingMsByTarget().size());
  }

  /** Creates a connector for few connections, with one thread to accept and read them. */
  private ServerConnector plainConnector(InetSocketAddress address) {
    ServerConnector connector = new ServerConnector(server, 0, 1, new HttpConnectionFactory());
    connector.setHost(address.getHostString());
    connector.setPort(address.getPort());
    server.addConnector(connector);
    return connector;
  }

  private ServerConnector connector(InetSocketAddress address, MillisClock clock) {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setRequestHeaderSize(MAX_HEADER_BYTES);
    http.setResponseHeaderSize(MAX_HEADER_BYTES);
    http.setUriCompliance(UriCompliance.UNSAFE);
    ServerConnector connector =
        new WatchingConnector(server, clock, new HttpConnectionFactory(http));
    connector.setHost(address.getHostString());
    connector.setPort(address.getPort());
    connector.setIdleTimeout(CALLER_IDLE_MS);
    connector.setAcceptQueueSize(ACCEPT_BACKLOG);
    server.addConnector(connector);
    return connector;
  }

  /** Opens the ports. */
  public void start() {
    client.start();
    try {
      server.start();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.UNAVAILABLE, "cannot open a port: " + e.getMessage(), e);
    }
  }

  /** Closes the ports and all connections. */
  public void stop() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot stop the server", e);
    }
    client.stop();
    probe.close();
    timers.stop();
  }

  /**
   * Accepts no new connections and closes those without a request in progress.
   *
   * <p>A caller that sends a request at that moment finds its connection closed and can tell that
   * the request was not read.
   */
  public void closeIdleConnections() {
    callers.close();
    for (EndPoint endPoint : callers.getConnectedEndPoints()) {
      if (!handler.isBusy(endPoint)) {
        endPoint.close();
      }
    }
  }

  /**
   * Returns the number of requests without a response.
   *
   * @return at least 0
   */
  public int inFlight() {
    return handler.inFlight();
  }

  /** Returns the memory that buffered bodies take; bytes. */
  long bufferedBytes() {
    return buffers.usedBytes();
  }

  /**
   * Returns the reports on the traffic.
   *
   * @return never null
   */
  public TrafficReports reports() {
    return reports;
  }

  /**
   * Returns the port for callers.
   *
   * @return the port, once started
   */
  public int callerPort() {
    return callers.getLocalPort();
  }

  /**
   * Returns the port for metrics scrapes.
   *
   * @return the port, once started; empty if there is none
   */
  public Optional<Integer> metricsPort() {
    return scrapes.map(ServerConnector::getLocalPort);
  }
}
