package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.buffer.BufferBudget;
import io.cuminvalve.core.fleet.FleetTarget;
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
import io.cuminvalve.kernel.UpperTime;
import io.cuminvalve.testkit.time.VirtualClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpFields;

/**
 * A gateway server on a virtual clock whose threads a test can block, like a slow start does.
 *
 * <p>Requests that wait meanwhile are in real sockets and queues.
 */
final class StallableGateway implements AutoCloseable {

  /** The longest time that a caller waits; virtual time. */
  static final long ROUTE_TIMEOUT_MS = 120_000;

  /** The memory for bodies. */
  static final long BUDGET_BYTES = 4L * 1024 * 1024;

  private static final ServiceId SERVICE = new ServiceId("files");
  private static final DataCentreId HERE = new DataCentreId("here");
  private static final String BLOCKER = "blocker-";

  private static final String CALLER_THREAD = "caller-";

  private final VirtualClock clock = new VirtualClock(1_000_000);
  private final RoutingState state = new RoutingState(1);
  private final RawTarget target;
  private final GatewayServer server;
  private final MetricsPage page;
  private final StopProgress stop;
  private final List<Socket> sockets = new ArrayList<>();
  private final Queue<String> lines = new ConcurrentLinkedQueue<>();
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger blockedSends = new AtomicInteger();
  private final AtomicInteger clockReads = new AtomicInteger();
  private final CountDownLatch callersBlocked = new CountDownLatch(1);
  private final CountDownLatch callersUnblocked = new CountDownLatch(1);
  private final CountDownLatch sendsUnblocked = new CountDownLatch(1);
  private volatile boolean sendsAreBlocked;

  StallableGateway(RawTarget target) {
    this(target, 0);
  }

  /** Creates a gateway that handles some requests of a connection ahead. */
  StallableGateway(RawTarget target, int pipelinedRequests) {
    this.target = target;
    DecisionLog log = new DecisionLog(clock, Integer.MAX_VALUE, this::onLine);
    RequestMetrics metrics = new RequestMetrics();
    UnknownFields unknown = new UnknownFields(log);
    MetricsPage page = new MetricsPage(metrics, new StoreCallMetrics(), unknown, log);
    this.page = page;
    this.stop = new StopProgress(clock, settings(pipelinedRequests).stopPolicy());
    this.server =
        new GatewayServer(
            settings(pipelinedRequests),
            state,
            this::readClock,
            log,
            metrics,
            this::decode,
            unknown,
            page,
            new SharedKey("a-key-of-at-least-sixteen-bytes"),
            () -> true,
            stop,
            Dispatcher::submit,
            new BufferBudget(BUDGET_BYTES));
    server.start();
  }

  private static GatewaySettings settings(int pipelinedRequests) {
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
        1_000,
        10_000,
        pipelinedRequests,
        List.of());
  }

  /** Installs a route, and the target under two names, so that requests can be retried. */
  StallableGateway configure() {
    return configureAt(target.address(), target.address());
  }

  /** Installs a route to targets at some addresses. */
  StallableGateway configureAt(String... addresses) {
    Route route =
        new Route(
            "files",
            "files",
            "/files/",
            true,
            ROUTE_TIMEOUT_MS,
            ROUTE_TIMEOUT_MS,
            0,
            List.of(new WeightedService(SERVICE, 1)),
            3);
    List<FleetTarget> registered = new ArrayList<>();
    for (String address : addresses) {
      TargetId id = new TargetId("files-" + (registered.size() + 1));
      registered.add(new FleetTarget(id, SERVICE, address, HERE, 64, TargetPhase.READY, 0));
    }
    // Targets and routes never get outdated here: the tests are about the caller.
    state.watch(this::upper, () -> 1_900, () -> true);
    state.update(
        snapshot ->
            snapshot.withTargets(registered).withConfiguration(configuration(route, false)));
    return this;
  }

  private static RoutingConfiguration configuration(Route route, boolean keyed) {
    return new RoutingConfiguration(
        1,
        List.of(route),
        List.of(new ServiceProfile(SERVICE, keyed, 1_000)),
        new CallerBounds(8_192, 1L << 20, 10_000, 60_000));
  }

  /** Installs a route for requests that must not run twice, whose keys all belong to one target. */
  StallableGateway configureKeyed() {
    return configureKeyedAt(target.address());
  }

  /** Installs such a route to a target at an address. */
  StallableGateway configureKeyedAt(String address) {
    Route route =
        new Route(
            "bookings",
            "files",
            "/bookings/",
            false,
            ROUTE_TIMEOUT_MS,
            ROUTE_TIMEOUT_MS,
            0,
            List.of(new WeightedService(SERVICE, 1)),
            3);
    TargetId owner = new TargetId("bookings-1");
    FleetTarget registered =
        new FleetTarget(owner, SERVICE, address, HERE, 64, TargetPhase.READY, 0);
    KeyOwners owners = new KeyOwners(List.of(new RangeRoute(0, 65_535, owner, true)));
    state.watch(this::upper, () -> 1_900, () -> true);
    state.update(
        snapshot ->
            snapshot
                .withTargets(List.of(registered))
                .withOwners(Map.of(SERVICE, owners), new OwnersVersion(1, 1))
                .withConfiguration(configuration(route, true)));
    return this;
  }

  private UpperTime upper() {
    return new UpperTime(clock.nowMs());
  }

  private long readClock() {
    if (sendsAreBlocked && isIn(TargetAttempt.class, "onConnection")) {
      blockedSends.incrementAndGet();
      awaitQuietly(sendsUnblocked);
    }
    boolean reads =
        Thread.currentThread().getName().startsWith(CALLER_THREAD)
            && isIn(GatewayHandler.class, "handle");
    if (reads) {
      clockReads.incrementAndGet();
    }
    return clock.nowMs();
  }

  private static boolean isIn(Class<?> type, String method) {
    return StackWalker.getInstance()
        .walk(
            frames ->
                frames.anyMatch(
                    frame ->
                        frame.getClassName().equals(type.getName())
                            && frame.getMethodName().equals(method)));
  }

  /** Returns how often threads that have read the head of a request have read the clock. */
  int clockReads() {
    return clockReads.get();
  }

  /** Blocks the thread that logs a line on a blocker, which is the one that read its request. */
  private void onLine(String line) {
    lines.add(line);
    if (line.contains("id=" + BLOCKER)) {
      callersBlocked.countDown();
      awaitQuietly(callersUnblocked);
    }
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

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Blocks the thread that reads requests of callers, so that later requests are not read. There is
   * only one such thread, and it also runs the handlers, since they do not block.
   */
  void blockCallerThreads() throws IOException {
    connect().send(BLOCKER, "/unknown/", 1);
    awaitQuietly(callersBlocked);
  }

  void unblockCallerThreads() {
    callersUnblocked.countDown();
  }

  /** Returns whether the gateway has logged a line with this prefix. */
  boolean hasLogged(String start) {
    return lines.stream().anyMatch(line -> line.startsWith(start));
  }

  /** Blocks each request between its connection to the target and its first byte. */
  void blockSends() {
    sendsAreBlocked = true;
  }

  /** Returns the number of requests blocked before their first byte. */
  int blockedSends() {
    return blockedSends.get();
  }

  void unblockSends() {
    sendsUnblocked.countDown();
  }

  /** Advances the clock, which stands still otherwise. */
  void advance(long durationMs) {
    clock.advance(durationMs);
  }

  /** Returns the memory that buffered bodies take; bytes. */
  long bufferedBytes() {
    return server.bufferedBytes();
  }

  /** Begins a stop, in which requests that end in time are still taken. */
  void beginStop() {
    stop.begin();
  }

  /** Closes connections without a request in progress, as in a stop. */
  void closeIdleConnections() {
    server.closeIdleConnections();
  }

  /** Returns the value of a metric without labels. */
  long metric(String name) {
    return new String(page.render(), StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.startsWith(name + " "))
        .map(line -> Math.round(Double.parseDouble(line.substring(name.length() + 1))))
        .findFirst()
        .orElseThrow();
  }

  /** Ends all requests in progress, as at the end of a stop. */
  void endRequests() {
    server.endRequests();
  }

  int inFlight() {
    return server.inFlight();
  }

  /** Opens connections to the target, so that later requests do not wait for one. */
  void openTargetConnections(int connections) throws IOException, InterruptedException {
    List<Call> calls = new ArrayList<>();
    for (int i = 0; i < connections; i++) {
      calls.add(connect().send("warm-" + i, "/files/", ROUTE_TIMEOUT_MS));
    }
    for (Call call : calls) {
      call.status();
      call.close();
    }
    await(() -> inFlight() == 0);
  }

  /** Waits until all earlier requests have ended, stops the server and drains the target. */
  void drainAndStop() throws IOException {
    String marker = "marker-" + ids.incrementAndGet();
    try (Call last = connect().send(marker, "/files/", ROUTE_TIMEOUT_MS)) {
      last.status();
    }
    stopWhenIdle();
  }

  /** Waits until all requests that were read have ended, stops the server and drains the target. */
  void stopWhenIdle() {
    await(() -> inFlight() == 0);
    server.stop();
    await(() -> target.openConnections() == 0);
  }

  Call connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", server.callerPort());
    sockets.add(socket);
    return new Call(socket);
  }

  /** Waits for a condition, without a timeout of its own; the test has a time limit. */
  static void await(BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      Thread.onSpinWait();
      Thread.yield();
    }
  }

  @Override
  public void close() throws IOException {
    unblockCallerThreads();
    unblockSends();
    server.stop();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** A connection of a caller. */
  static final class Call implements AutoCloseable {

    private final Socket socket;

    Call(Socket socket) {
      this.socket = socket;
    }

    /** Sends a request without a body. */
    Call send(String id, String path, long deadlineMs) throws IOException {
      return write(head(id, "GET " + path, deadlineMs, ""));
    }

    /** Sends a request with a key and a body, which must not run twice. */
    Call sendBooking(String id, int key) throws IOException {
      String headers = "X-Shard-Key: " + key + "\r\nContent-Length: 2\r\n";
      return write(head(id, "POST /bookings/", ROUTE_TIMEOUT_MS, headers) + "ok");
    }

    /** Sends the head of a request and a part of its body. */
    Call sendPart(String id, long deadlineMs, int length, String part) throws IOException {
      return write(
          head(id, "POST /files/", deadlineMs, "Content-Length: " + length + "\r\n") + part);
    }

    Call write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return this;
    }

    private static String head(String id, String start, long deadlineMs, String more) {
      return start
          + " HTTP/1.1\r\nHost: files\r\nX-Attempt-Id: "
          + id
          + "\r\nX-Deadline-Ms: "
          + deadlineMs
          + "\r\n"
          + more
          + "\r\n";
    }

    /** Reads a complete response; returns 0 if the connection ends without one. */
    int status() throws IOException {
      String head = RawTarget.readHead(socket.getInputStream());
      if (head == null) {
        return 0;
      }
      int length = RawTarget.header(head, "Content-Length").map(Integer::parseInt).orElse(0);
      socket.getInputStream().readNBytes(length);
      return Integer.parseInt(head.split(" ")[1]);
    }

    /** Reads a complete response and returns its body. */
    String body() throws IOException {
      String head = RawTarget.readHead(socket.getInputStream());
      int length = RawTarget.header(head, "Content-Length").map(Integer::parseInt).orElse(0);
      return new String(socket.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
