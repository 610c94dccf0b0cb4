package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.buffer.BufferBudget;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.RelayPeer;
import io.cuminvalve.core.fleet.TargetPhase;
import io.cuminvalve.core.fleet.TargetSignals;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.lease.RangeRoute;
import io.cuminvalve.core.quota.ColdBound;
import io.cuminvalve.core.route.CallerBounds;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.core.route.ServiceProfile;
import io.cuminvalve.core.route.WeightedService;
import io.cuminvalve.gateway.GatewaySettings;
import io.cuminvalve.gateway.RequestHeaders;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.observe.MetricsPage;
import io.cuminvalve.gateway.observe.RequestMetrics;
import io.cuminvalve.gateway.observe.StoreCallMetrics;
import io.cuminvalve.gateway.observe.UnknownFields;
import io.cuminvalve.kernel.SharedKey;
import io.cuminvalve.testkit.time.VirtualClock;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import org.eclipse.jetty.http.HttpFields;

/** A gateway server that has a path to its targets, or none and relays its requests to peers. */
final class RelayGateway implements AutoCloseable {

  static final int MAX_ATTEMPTS = 3;
  static final long UNREACHABLE_RETRY_MS = 700;
  static final DataCentreId HERE = new DataCentreId("here");

  /** The memory for bodies. */
  private static final long BUDGET_BYTES = 4L * 1024 * 1024;

  /** The latency objective of the route {@code quick}. */
  static final long QUICK_OBJECTIVE_MS = 5_000;

  static final long STOP_NOTICE_MS = 1_000;
  static final long STOP_LIMIT_MS = 10_000;

  private static final long TIMEOUT_MS = 120_000;
  private static final ServiceId FILES = new ServiceId("files");
  private static final ServiceId BOOKINGS = new ServiceId("bookings");
  private static final String KEY = "a-key-of-at-least-sixteen-bytes";

  private final VirtualClock clock = new VirtualClock(1_000_000);
  private final RoutingState state = new RoutingState(1);
  private final StopProgress stop = new StopProgress(clock, settings().stopPolicy());
  private final RequestMetrics metrics = new RequestMetrics();
  private final MetricsPage page;
  private final GatewayServer server;

  private RelayGateway(BiConsumer<Dispatcher, SlotRequest> submission, String targetAddress) {
    DecisionLog log = new DecisionLog(clock, Integer.MAX_VALUE, line -> {});
    UnknownFields unknown = new UnknownFields(log);
    this.page = new MetricsPage(metrics, new StoreCallMetrics(), unknown, log);
    this.server =
        new GatewayServer(
            settings(),
            state,
            clock,
            log,
            metrics,
            this::decode,
            unknown,
            page,
            new SharedKey(KEY),
            () -> !stop.isStopping(),
            stop,
            submission,
            new BufferBudget(BUDGET_BYTES));
    configure(targetAddress);
    server.start();
  }

  /** Starts a gateway that reaches a target. */
  static RelayGateway reaching(RawTarget target) {
    return new RelayGateway(Dispatcher::submit, target.address());
  }

  /** Starts a gateway that reaches no target. */
  static RelayGateway cut(RelayPeer... peers) {
    RelayGateway gateway =
        new RelayGateway(
            (dispatcher, request) ->
                request.refused(
                    TargetRefusal.forUnreachable(new TargetId("files-1"), UNREACHABLE_RETRY_MS)),
            "127.0.0.1:9");
    gateway.setPeers(peers);
    return gateway;
  }

  private static GatewaySettings settings() {
    InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
    return new GatewaySettings(
        "one",
        HERE.value(),
        anyPort,
        anyPort,
        Optional.empty(),
        "/v1/readyz",
        "127.0.0.1",
        0,
        0,
        new RequestHeaders("X-Attempt-Id", "X-Deadline-Ms", "X-Target-Instance", "X-Shard-Key"),
        true,
        1,
        true,
        null,
        0,
        new ColdBound(1, 4),
        0.1,
        100,
        5_000,
        STOP_NOTICE_MS,
        STOP_LIMIT_MS,
        0,
        List.of());
  }

  private void configure(String targetAddress) {
    FleetTarget files = target("files-1", FILES, targetAddress);
    FleetTarget otherFiles = target("files-2", FILES, targetAddress);
    FleetTarget owner = target("bookings-1", BOOKINGS, targetAddress);
    KeyOwners owners = new KeyOwners(List.of(new RangeRoute(0, 65_535, owner.id(), true)));
    RoutingConfiguration configuration =
        new RoutingConfiguration(
            1,
            List.of(
                route("files", FILES, true),
                route("quick", FILES, false, QUICK_OBJECTIVE_MS),
                route("orders", FILES, false),
                route("bookings", BOOKINGS, false)),
            List.of(
                new ServiceProfile(FILES, false, 1_000), new ServiceProfile(BOOKINGS, true, 1_000)),
            new CallerBounds(8_192, 1L << 20, 10_000, 60_000));
    state.watch(clock::upper, () -> 1_900, () -> true);
    state.update(
        snapshot ->
            snapshot
                .withTargets(List.of(files, otherFiles, owner))
                .withOwners(Map.of(BOOKINGS, owners), new OwnersVersion(1, 1))
                .withConfiguration(configuration));
  }

  private static FleetTarget target(String id, ServiceId service, String address) {
    return new FleetTarget(new TargetId(id), service, address, HERE, 64, TargetPhase.READY, 0);
  }

  private static Route route(String name, ServiceId service, boolean idempotent) {
    return route(name, service, idempotent, TIMEOUT_MS);
  }

  private static Route route(String name, ServiceId service, boolean idempotent, long objectiveMs) {
    return new Route(
        name,
        "files.example",
        "/" + name + "/",
        idempotent,
        TIMEOUT_MS,
        objectiveMs,
        0,
        List.of(new WeightedService(service, 1)),
        MAX_ATTEMPTS);
  }

  private TargetSignals decode(int status, HttpFields headers) {
    return new TargetSignals(
        Optional.ofNullable(headers.get("X-Attempt-Id")),
        headers.contains("X-Not-Executed"),
        Optional.empty(),
        OptionalDouble.empty(),
        false,
        OptionalLong.empty(),
        Optional.empty(),
        Set.of(),
        List.of());
  }

  /** Returns this gateway as a peer of others. */
  RelayPeer asPeer() {
    return new RelayPeer(server.reports().relayAddress(), HERE);
  }

  /** Sets the peers, which may have been started later. */
  void setPeers(RelayPeer... peers) {
    state.setRelayPeers(Arrays.asList(peers), clock.upper());
  }

  int callerPort() {
    return server.callerPort();
  }

  /** Returns the memory that buffered bodies take; bytes. */
  long bufferedBytes() {
    return server.bufferedBytes();
  }

  /** Begins to stop. */
  void beginStop() {
    stop.begin();
  }

  /** Advances the clock, which stands still otherwise. */
  void advance(long durationMs) {
    clock.advance(durationMs);
  }

  /** Ends all requests in progress, as at the end of a stop. */
  void endRequests() {
    server.endRequests();
  }

  int inFlight() {
    return server.inFlight();
  }

  /** Returns whether the metrics page has a line. */
  boolean shows(String line) {
    return new String(page.render(), StandardCharsets.UTF_8).lines().anyMatch(line::equals);
  }

  @Override
  public void close() {
    server.stop();
  }
}
