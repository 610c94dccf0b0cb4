package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.buffer.BufferBudget;
import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.send.SendGate;
import io.cuminvalve.core.stop.ZoneSuccession;
import io.cuminvalve.gateway.AnswerDecoder;
import io.cuminvalve.gateway.GatewaySettings;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.observe.MetricsPage;
import io.cuminvalve.gateway.observe.RequestMetrics;
import io.cuminvalve.gateway.observe.UnknownFields;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.ports.http.DaemonThreadPool;
import io.cuminvalve.router.caller.WatchingConnector;
import io.cuminvalve.router.target.TargetClient;
import io.cuminvalve.router.target.TargetClientLimits;
import io.cuminvalve.router.wiring.RequestTimers;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.IdleTimeout;
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

  /** A running gateway accepts within a few milliseconds; another peer is at hand. */
  private static final long PEER_CONNECT_TIMEOUT_MS = 200;

  /** Shorter than the time after which peers close idle connections. */
  private static final long PEER_IDLE_MS = 5_000;

  private static final int PEER_THREADS = 4;

  /** Relayed heads are larger than those of callers and targets by the fields of the relay. */
  private static final int MAX_RELAYED_HEADER_BYTES = MAX_HEADER_BYTES + 2 * 1024;

  /** Targets that are probed at a time to learn whether they can be reached. */
  private static final int REACH_PROBES = 2;

  private final GatewaySettings settings;
  private final Server server;
  private final WatchingConnector callers;
  private final WatchingConnector relays;
  private final ServerConnector readiness;
  private final Optional<ServerConnector> scrapes;
  private final TargetClient client;
  private final TargetClient peerClient;
  private final RequestTimers timers = new RequestTimers();
  private final ConnectProbe probe = new ConnectProbe((int) CONNECT_TIMEOUT_MS, 1);
  private final ConnectProbe reachProbe = new ConnectProbe((int) CONNECT_TIMEOUT_MS, REACH_PROBES);
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
   * @param sharedKey authenticates the peers that relay requests; not null
   * @param ready returns whether callers may be directed to this gateway; not null
   * @param stop whether this process is stopping; not null
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
      SharedKey sharedKey,
      BooleanSupplier ready,
      StopProgress stop) {
    this(
        settings,
        state,
        clock,
        log,
        metrics,
        decoder,
        unknownFields,
        page,
        sharedKey,
        ready,
        stop,
        Dispatcher::submit,
        BufferBudget.ofHeap(Runtime.getRuntime().maxMemory()));
  }

  /** Creates a server with a budget for bodies, and a way to submit requests for slots. */
  GatewayServer(
      GatewaySettings settings,
      RoutingState state,
      MillisClock clock,
      DecisionLog log,
      RequestMetrics metrics,
      AnswerDecoder decoder,
      UnknownFields unknownFields,
      MetricsPage page,
      SharedKey sharedKey,
      BooleanSupplier ready,
      StopProgress stop,
      BiConsumer<Dispatcher, SlotRequest> submission,
      BufferBudget budget) {
    this.settings = settings;
    this.buffers = new BodyBuffers(budget);
    SplittableRandom random = new SplittableRandom();
    this.client =
        new TargetClient(
            new TargetClientLimits(
                CONNECT_TIMEOUT_MS, TARGET_IDLE_MS, MAX_HEADER_BYTES, TARGET_THREADS, true),
            address -> Integer.MAX_VALUE);
    this.peerClient =
        new TargetClient(
            new TargetClientLimits(
                PEER_CONNECT_TIMEOUT_MS,
                PEER_IDLE_MS,
                MAX_RELAYED_HEADER_BYTES,
                PEER_THREADS,
                false),
            address -> Integer.MAX_VALUE);
    DataCentreId dataCentre = new DataCentreId(settings.dataCentre());
    final RelayToken token = new RelayToken(sharedKey);
    TargetQuotas quotas = new TargetQuotas(clock, log, timers, random.split());
    new ColdTargetDetector(state, quotas, settings.coldBound(), clock);
    TargetBackoffs backoffs = new TargetBackoffs(clock, timers, random.split(), log);
    TargetDepartures departures = new TargetDepartures(state);
    ReachMonitor reach = new ReachMonitor(state, reachProbe, timers, clock, log);
    PacedTargets paces = new PacedTargets(state, clock, random.split(), log);
    Dispatcher dispatcher =
        new Dispatcher(
            state, dataCentre, clock, random.split(), quotas, backoffs, reach::isUsable, paces);
    reach.onChange(dispatcher::dispatchWaiting);
    backoffs.onStart(dispatcher::onBackoff);
    KeyLoadMeter keyLoad = new KeyLoadMeter();
    RequestQuarantine quarantine = new RequestQuarantine(clock);
    CrashDetector crashDetector = new CrashDetector(state, probe, timers, clock, reach::isDoubtful);
    ExchangeServices services =
        new ExchangeServices(
            state,
            dispatcher,
            request -> submission.accept(dispatcher, request),
            new SendGate(clock),
            departures,
            quotas,
            new SignalReader(decoder, quotas, backoffs, departures, unknownFields, log),
            backoffs,
            buffers,
            client,
            new PeerRelay(state, peerClient, token, dataCentre, clock, random.split()),
            new RetryBudgets(settings, clock),
            quarantine,
            crashDetector,
            reach,
            paces,
            keyLoad,
            timers,
            clock,
            settings.headers(),
            log,
            metrics,
            stop);
    this.reports =
        new TrafficReports(
            keyLoad,
            dispatcher,
            quotas,
            backoffs,
            departures,
            quarantine,
            crashDetector,
            reach,
            () -> relayAddress(settings.peerHost(), ready));
    this.handler = new GatewayHandler(services, random.split());
    this.server = new Server(new DaemonThreadPool("caller", MAX_THREADS, MIN_THREADS));
    this.callers =
        connector(settings.callerAddress(), clock, MAX_HEADER_BYTES, settings.pipelinedRequests());
    this.relays =
        connector(
            new InetSocketAddress(settings.peerHost(), settings.relayPort()),
            clock,
            MAX_RELAYED_HEADER_BYTES,
            0);
    this.readiness = plainConnector(settings.readinessAddress());
    this.scrapes = settings.metricsAddress().map(this::plainConnector);
    RelayHandler admission = new RelayHandler(relays, token, ready, log, metrics, handler);
    Handler traffic = new ReadinessHandler(readiness, settings.readinessPath(), ready, admission);
    server.setHandler(new MetricsHandler(scrapes, page, traffic));
    page.addGauge("cuminvalve_requests_in_flight", "Requests without an answer.", this::inFlight);
    page.addGauge(
        "cuminvalve_buffered_bytes",
        "Memory for buffered bodies of requests and responses.",
        buffers::usedBytes);
    page.addGauge(
        "cuminvalve_read_ahead_requests",
        "Requests read before earlier ones of their connection were answered, since the start.",
        callers::readAheadTotal);
    page.addGauge(
        "cuminvalve_read_ahead_requests_in_flight",
        "Requests without an answer that were read before earlier ones were answered.",
        callers::readAheadInProgress);
    page.addGauge(
        "cuminvalve_relayed_requests_in_flight",
        "Requests without an answer that other gateways relay.",
        admission::inProgress);
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
        "cuminvalve_unreachable_targets",
        "Targets that this gateway cannot reach.",
        reach::unreachableCount);
    page.addGauge(
        "cuminvalve_paced_targets",
        "Targets with scarce places that have started or recovered, with a share of requests.",
        paces::size);
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

  /** Returns where peers can relay requests to; empty while they are not to. */
  private String relayAddress(String host, BooleanSupplier ready) {
    int port = relays.getLocalPort();
    return port > 0 && ready.getAsBoolean() ? host + ":" + port : "";
  }

  private WatchingConnector connector(
      InetSocketAddress address, MillisClock clock, int maxHeaderBytes, int maxReadAhead) {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setRequestHeaderSize(maxHeaderBytes);
    http.setResponseHeaderSize(maxHeaderBytes);
    http.setUriCompliance(UriCompliance.UNSAFE);
    WatchingConnector connector =
        new WatchingConnector(server, clock, maxReadAhead, new HttpConnectionFactory(http));
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
    peerClient.start();
    try {
      server.start();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.UNAVAILABLE, "cannot open a port: " + e.getMessage(), e);
    }
  }

  /**
   * Returns who takes over from this gateway if it stops now.
   *
   * @param known the gateways that run or start again; not null
   * @param listening those of them that listen; not null
   * @return never null
   */
  public ZoneSuccession succession(List<RelayPeer> known, List<RelayPeer> listening) {
    return new ZoneSuccession(
        settings.peerHost() + ":" + relays.getLocalPort(),
        new DataCentreId(settings.dataCentre()),
        known,
        listening);
  }

  /** Closes the ports and all connections. */
  public void stop() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new CodedException(ErrorCode.INTERNAL, "cannot stop the server", e);
    }
    client.stop();
    peerClient.stop();
    probe.close();
    reachProbe.close();
    timers.stop();
  }

  /**
   * Closes all connections without a request in progress. New connections are accepted until the
   * server stops, since callers may still be directed here.
   *
   * <p>A caller that sends a request at that moment finds its connection closed and can tell that
   * the request was not read.
   */
  public void closeIdleConnections() {
    closeConnectionsIdleFor(0);
  }

  /**
   * Like {@link #closeIdleConnections}, but spares connections that were used recently, on which a
   * request may be on its way.
   *
   * @param idleMs the time without a byte after which a connection is closed; milliseconds
   */
  public void closeConnectionsIdleFor(long idleMs) {
    for (EndPoint endPoint : connections()) {
      boolean settled =
          !(endPoint instanceof IdleTimeout connection) || connection.getIdleFor() >= idleMs;
      if (settled && handler.claimIdle(endPoint)) {
        endPoint.close();
      }
    }
  }

  private List<EndPoint> connections() {
    List<EndPoint> all = new ArrayList<>(callers.getConnectedEndPoints());
    all.addAll(relays.getConnectedEndPoints());
    return all;
  }

  /**
   * Refuses all further requests if none is in progress.
   *
   * @return whether all further requests are refused
   */
  public boolean closeIfIdle() {
    return handler.closeIfIdle();
  }

  /**
   * Refuses all further requests and ends those in progress: with 503 if they were not sent to a
   * target, else with 504. The responses may be written later than this returns.
   */
  public void endRequests() {
    handler.endRequests();
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
   * Returns how many requests without a response are in each phase.
   *
   * @return pairs {@code phase=count} for the log; never null
   */
  public String inFlightByPhase() {
    return handler.inFlightByPhase();
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
