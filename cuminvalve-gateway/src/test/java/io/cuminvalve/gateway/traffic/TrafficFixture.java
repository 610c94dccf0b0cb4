package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.buffer.BufferBudget;
import io.cuminvalve.core.fleet.FleetTarget;
import io.cuminvalve.core.fleet.TargetSignals;
import io.cuminvalve.core.id.DataCentreId;
import io.cuminvalve.core.id.ServiceId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.quarantine.RequestFingerprint;
import io.cuminvalve.core.quarantine.RequestIdentity;
import io.cuminvalve.core.route.Route;
import io.cuminvalve.core.route.RoutingConfiguration;
import io.cuminvalve.core.route.WeightedService;
import io.cuminvalve.core.send.SendGate;
import io.cuminvalve.core.send.SendObstacle;
import io.cuminvalve.core.stop.StopPolicy;
import io.cuminvalve.core.waiting.RequestTimes;
import io.cuminvalve.gateway.RequestHeaders;
import io.cuminvalve.gateway.observe.DecisionLog;
import io.cuminvalve.gateway.observe.RequestMetrics;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.router.request.Timers;
import io.cuminvalve.router.target.TargetClient;
import io.cuminvalve.router.target.TargetClientLimits;
import java.lang.reflect.Proxy;
import java.net.ConnectException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.ConnectionMetaData;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** The request path of a gateway up to the first byte of a request, without sockets. */
public final class TrafficFixture {

  public static final ServiceId SERVICE = new ServiceId("core");
  public static final DataCentreId HERE = new DataCentreId("here");

  private static final long DEADLINE_MS = 1_000_000_000;
  private static final Route ROUTE =
      new Route(
          "r",
          "h.example",
          "/a/",
          true,
          1_000,
          400,
          1,
          List.of(new WeightedService(SERVICE, 1)),
          2);
  private static final RoutingConfiguration CONFIGURATION =
      new RoutingConfiguration(1, List.of(ROUTE), List.of(), null);

  private static final RequestFingerprint CONTENT = new RequestFingerprint(1);

  /** The identity of every request of this fixture. */
  static final RequestIdentity IDENTITY = new RequestIdentity(CONTENT, CONTENT.by("one"));

  private final MillisClock clock;
  private final Dispatcher dispatcher;
  private final RequestQuarantine quarantine;
  private final ExchangeServices services;
  private final TrafficReports reports;

  /** Creates the traffic of a gateway; its timers never run. */
  public TrafficFixture(RoutingState state, MillisClock clock) {
    this(state, clock, true);
  }

  /** Creates the traffic of a gateway that may not know a configuration yet. */
  TrafficFixture(RoutingState state, MillisClock clock, boolean configured) {
    this.clock = clock;
    if (configured) {
      state.update(snapshot -> snapshot.withConfiguration(CONFIGURATION));
    }
    state.watch(clock::upper, () -> 1_900, () -> false);
    DecisionLog log = new DecisionLog(clock, 1, line -> {});
    Timers timers = (task, delayMs) -> () -> {};
    TargetQuotas quotas = new TargetQuotas(clock, log, timers, new SplittableRandom(1));
    TargetBackoffs backoffs = new TargetBackoffs(clock, timers, new SplittableRandom(2), log);
    TargetDepartures departures = new TargetDepartures(state);
    KeyLoadMeter keyLoad = new KeyLoadMeter();
    this.quarantine = new RequestQuarantine(clock);
    ReachMonitor reach = new ReachMonitor(state, (address, onDone) -> {}, timers, clock, log);
    CrashDetector crashDetector = new CrashDetector(state, null, timers, clock, reach::isDoubtful);
    PacedTargets paces = new PacedTargets(state, clock, new SplittableRandom(5), log);
    this.dispatcher =
        new Dispatcher(
            state, HERE, clock, new SplittableRandom(3), quotas, backoffs, reach::isUsable, paces);
    this.services =
        new ExchangeServices(
            state,
            dispatcher,
            dispatcher::submit,
            new SendGate(clock),
            departures,
            quotas,
            new SignalReader(null, quotas, backoffs, departures, null, log),
            backoffs,
            new BodyBuffers(new BufferBudget(0)),
            new TargetClient(TargetClientLimits.DEFAULT, address -> 1),
            null,
            null,
            quarantine,
            crashDetector,
            reach,
            paces,
            keyLoad,
            timers,
            clock,
            new RequestHeaders("attempt", "deadline", "target", "key"),
            log,
            new RequestMetrics(),
            new StopProgress(clock, new StopPolicy(1_000, 10_000)));
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
            () -> "");
  }

  /** Creates the handler of callers' requests. */
  GatewayHandler handler() {
    return new GatewayHandler(services, new SplittableRandom(4));
  }

  /** Hands a request to a handler; all come on the same connection. */
  void handle(GatewayHandler handler, Callback completion) {
    handle(handler, request(), completion);
  }

  /** Hands a request to a handler. */
  void handle(GatewayHandler handler, Request request, Callback completion) {
    handler.handle(request, response(request), completion);
  }

  /** Ends a request that was not sent to a target. */
  void endUnsent(Callback completion, Runnable onEnded) {
    GatewayExchange exchange = new GatewayExchange(services, call(completion), onEnded);
    exchange.onRefused(TargetRefusal.forEvacuation(new TargetId("a"), 1_000));
  }

  private CallerRequest call(Callback completion) {
    Request request = request();
    return new CallerRequest(
        request,
        response(request),
        completion,
        "one",
        ROUTE,
        SERVICE,
        OptionalInt.empty(),
        IDENTITY,
        HttpFields.EMPTY,
        BufferedBody.EMPTY,
        clock.nowMs(),
        DEADLINE_MS,
        clock.upper().plusMs(DEADLINE_MS),
        clock.upper().plusMs(DEADLINE_MS),
        CONFIGURATION.version());
  }

  /** Returns the reports for the link to the fleet. */
  public TrafficReports reports() {
    return reports;
  }

  /** Marks the requests of this fixture as suspected of crashing targets. */
  void suspectRequests() {
    quarantine.install(Map.of(), Set.of(CONTENT));
  }

  /** Marks a target as replaced by another one at its address. */
  public void onReplaced(TargetId target) {
    dispatcher.onReplaced(target);
  }

  /** Receives a response, on the calling thread, by which a target announces that it leaves. */
  public void receiveLeavingSignal(TargetId target) {
    TargetSignals signals =
        new TargetSignals(
            Optional.empty(),
            false,
            Optional.empty(),
            OptionalDouble.empty(),
            true,
            OptionalLong.empty(),
            Optional.empty(),
            Set.of(),
            List.of());
    if (signals.leaving()) {
      reports.departures().onLeaving(target);
    }
  }

  /** Submits a request without a key and returns why it is refused; empty if it is not. */
  Optional<TargetRefusal> refusal() {
    Placed placed = new Placed();
    dispatcher.submit(placed.slotRequest);
    dispatcher.withdraw(placed.slotRequest);
    return Optional.ofNullable(placed.refusal);
  }

  /** Submits a request without a key; empty if it gets no slot at once. */
  public Optional<Placed> place() {
    Placed placed = new Placed();
    dispatcher.submit(placed.slotRequest);
    dispatcher.withdraw(placed.slotRequest);
    return Optional.ofNullable(placed.slot).map(slot -> placed);
  }

  /** Returns whether a new request would be sent to a target over an open connection. */
  public boolean sendsTo(TargetId target) {
    Optional<Placed> placed = place();
    boolean sent =
        placed.filter(p -> p.target().id().equals(target)).filter(Placed::begins).isPresent();
    placed.ifPresent(Placed::release);
    return sent;
  }

  /** A request with a slot at a target that waits for its connection. */
  public final class Placed implements SlotRequest.Listener {

    private final SlotRequest slotRequest;
    private Slot slot;
    private TargetRefusal refusal;

    Placed() {
      slotRequest =
          new SlotRequest(
              ROUTE, SERVICE, OptionalInt.empty(), 0, new RequestTimes(400, 1_000), this);
    }

    @Override
    public void onPlaced(Slot given) {
      slot = given;
    }

    @Override
    public void onRefused(TargetRefusal given) {
      refusal = given;
    }

    /** Returns the target of its slot. */
    public FleetTarget target() {
      return slot.target();
    }

    /** Releases its slot. */
    public void release() {
      dispatcher.release(slot, slotRequest, AttemptOutcome.GIVEN_UP, 0);
    }

    /** Opens its connection and returns whether its first byte is sent. */
    public boolean begins() {
      return beginsAfter(0);
    }

    /** Is refused a connection, by the host of the target or by something on the way there. */
    void failsToConnect() {
      TargetAttempt attempt =
          new TargetAttempt(services, call(null), slotRequest, slot, 0, 0, new IgnoringListener());
      attempt.onFailure(false, new ConnectException("refused"));
      attempt.onReleased();
    }

    /** Like {@link #begins}, for a request that may have run on some targets before. */
    boolean beginsAfter(int runs) {
      return new TargetAttempt(services, call(null), slotRequest, slot, runs, 0, null)
          .onConnection(HttpFields.build());
    }
  }

  /** Ignores the result of an attempt. */
  private static final class IgnoringListener implements TargetAttempt.Listener {

    @Override
    public void onResponse(
        TargetAttempt attempt, int status, HttpFields headers, BufferedBody body) {}

    @Override
    public void onNotExecuted(TargetAttempt attempt, int status) {}

    @Override
    public void onStopped(TargetAttempt attempt, SendObstacle obstacle) {}

    @Override
    public void onFailure(TargetAttempt attempt, boolean mayHaveRun, String reason) {}
  }

  static Request request() {
    EndPoint endPoint = stub(EndPoint.class, Map.of("isOpen", true));
    Connection connection = stub(Connection.class, Map.of("getEndPoint", endPoint));
    ConnectionMetaData metaData =
        stub(ConnectionMetaData.class, Map.of("getConnection", connection));
    return stub(
        Request.class,
        Map.of(
            "getMethod",
            "GET",
            "getHttpURI",
            HttpURI.from("http://h.example/a/"),
            "getHeaders",
            HttpFields.EMPTY,
            "getConnectionMetaData",
            metaData));
  }

  private static Response response(Request request) {
    HttpFields.Mutable headers = HttpFields.build();
    return (Response)
        Proxy.newProxyInstance(
            TrafficFixture.class.getClassLoader(),
            new Class<?>[] {Response.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("write")) {
                ((Callback) arguments[2]).succeeded();
              }
              return switch (method.getName()) {
                case "getHeaders" -> headers;
                case "getRequest" -> request;
                default -> null;
              };
            });
  }

  private static <T> T stub(Class<T> type, Map<String, Object> returnValues) {
    return type.cast(
        Proxy.newProxyInstance(
            TrafficFixture.class.getClassLoader(),
            new Class<?>[] {type},
            (proxy, method, arguments) -> returnValues.get(method.getName())));
  }
}
