package io.cuminvalve.testkit.target;

import com.fasterxml.jackson.databind.JsonNode;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.testkit.http.Exchange;
import io.cuminvalve.testkit.http.FaultControl;
import io.cuminvalve.testkit.http.HttpStandIn;
import io.cuminvalve.testkit.ledger.Ledger;
import io.cuminvalve.testkit.time.TaskScheduler;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.StreamSupport;

/**
 * Stands in for a server that owns shards exclusively and checks what its capability says.
 *
 * <p>Each run of the process has its own memory and incarnation; the fault switches outlive runs.
 * An answer to a request is the operation's name and the length of the request's body, repeated to
 * the length the caller asked for. Thread-safe.
 *
 * @since 0.1
 */
public final class TargetStandIn implements AutoCloseable {

  private static final String CONTROL = "/cuminvalve/";

  private record RefusedGrant(int shard, long token) {}

  private record Health(String state, int inFlight, double load) {}

  private final TargetSettings settings;
  private final MillisClock clock;
  private final TaskScheduler scheduler;
  private final Ledger ledger;
  private final LongSupplier incarnations;
  private final TargetFaults faults = new TargetFaults();
  private final HttpStandIn http;
  private volatile TargetRun run;
  private volatile long incarnation;

  /**
   * Creates a target that is not started yet.
   *
   * @param settings what it is like; not null
   * @param clock its own clock; not null
   * @param scheduler lets work take time on the same time as the clock; not null
   * @param ledger records grants and executions; not null
   * @param incarnations draws the incarnation of each run; never 0; not null
   */
  public TargetStandIn(
      TargetSettings settings,
      MillisClock clock,
      TaskScheduler scheduler,
      Ledger ledger,
      LongSupplier incarnations) {
    this.settings = settings;
    this.clock = clock;
    this.scheduler = scheduler;
    this.ledger = ledger;
    this.incarnations = incarnations;
    this.http =
        new HttpStandIn(
            settings.id().value(),
            settings.port(),
            settings.maxConnections(),
            FaultControl.wrap(faults, () -> run.report(), this::serve));
  }

  /** Starts with empty memory and a new incarnation, on the same port as before. */
  public void start() {
    incarnation = incarnations.getAsLong();
    run = new TargetRun(settings, clock, scheduler, ledger, faults, incarnation);
    http.start();
  }

  /** Ends abruptly: connections close, running requests vanish, new connections are refused. */
  public void kill() {
    TargetRun dying = run;
    if (dying != null) {
      dying.die();
    }
    http.stop();
  }

  @Override
  public void close() {
    kill();
  }

  /** Stops the process in its tracks: connections stay open, nothing is read, run or answered. */
  public void freeze() {
    run.freeze();
  }

  /** Goes on as if nothing had happened, with everything that arrived in between. */
  public void thaw() {
    run.thaw();
  }

  /** Begins to leave: the health endpoint says so. Moving the shards is the router's work. */
  public void startDraining() {
    run.startDraining();
  }

  /**
   * Returns the address.
   *
   * @return IP number and port
   */
  public String address() {
    return http.address();
  }

  /**
   * Returns the identifier.
   *
   * @return never null
   */
  public TargetId id() {
    return settings.id();
  }

  /**
   * Returns the fault switches.
   *
   * @return live switches; never null
   */
  public TargetFaults faults() {
    return faults;
  }

  /**
   * Returns the counters of this run.
   *
   * @return a snapshot; never null
   */
  public TargetReport report() {
    return run.report();
  }

  private void serve(Exchange exchange) {
    TargetRun current = run;
    current.act(
        () -> {
          exchange.put(TargetHeaders.TARGET_CLOCK, clock.nowMs());
          exchange.put(TargetHeaders.INCARNATION, incarnation);
          String attemptId = exchange.header(TargetHeaders.ATTEMPT_ID);
          if (attemptId != null) {
            exchange.put(TargetHeaders.ATTEMPT_ID, attemptId);
          }
          serve(current, exchange);
        });
  }

  private void serve(TargetRun current, Exchange exchange) {
    if (!exchange.path().startsWith(CONTROL)) {
      current.submit(exchange);
      return;
    }
    switch (exchange.path().substring(CONTROL.length())) {
      case "grants" -> serveGrants(current, exchange);
      case "revocations" -> serveRevocations(current, exchange);
      case "health" -> serveHealth(current, exchange);
      case "cancellations" -> serveCancellation(current, exchange);
      case "drain" -> serveDrain(current, exchange);
      default -> exchange.answer(404);
    }
  }

  private static void serveGrants(TargetRun current, Exchange exchange) {
    JsonNode order = exchange.json();
    Optional<Integer> refused = current.grant(shards(order), tokens(order));
    if (refused.isEmpty()) {
      exchange.answer(200);
      return;
    }
    int shard = refused.get();
    exchange.answerJson(409, new RefusedGrant(shard, current.highestToken(shard)));
  }

  private static void serveRevocations(TargetRun current, Exchange exchange) {
    JsonNode order = exchange.json();
    boolean drain = order.path("drain").asBoolean(false);
    current.revoke(shards(order), tokens(order), drain, () -> exchange.answer(200));
  }

  private void serveHealth(TargetRun current, Exchange exchange) {
    int inFlight = current.inFlight();
    double load = (double) inFlight / settings.slots();
    exchange.answerJson(200, new Health(current.state(), inFlight, load));
  }

  private static void serveCancellation(TargetRun current, Exchange exchange) {
    current.cancel(exchange.json().path("requestId").asText());
    exchange.answer(200);
  }

  /** For experiments: what the operator of the target does to let it leave. */
  private static void serveDrain(TargetRun current, Exchange exchange) {
    current.startDraining();
    exchange.answer(200);
  }

  private static int[] shards(JsonNode order) {
    return StreamSupport.stream(order.path("shards").spliterator(), false)
        .mapToInt(JsonNode::asInt)
        .toArray();
  }

  private static long[] tokens(JsonNode order) {
    return StreamSupport.stream(order.path("tokens").spliterator(), false)
        .mapToLong(JsonNode::asLong)
        .toArray();
  }
}
