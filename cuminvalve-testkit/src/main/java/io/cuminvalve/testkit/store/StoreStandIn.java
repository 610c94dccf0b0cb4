package io.cuminvalve.testkit.store;

import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.testkit.http.Exchange;
import io.cuminvalve.testkit.http.FaultControl;
import io.cuminvalve.testkit.http.HttpStandIn;
import io.cuminvalve.testkit.time.TaskScheduler;
import java.util.Base64;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stands in for the platform's key-value service: compare-and-swap, leases, watches, call counts.
 *
 * <p>Its state survives {@link #stop()} and {@link #start()}, as that of a replicated service
 * would. Thread-safe.
 *
 * @since 0.1
 */
public final class StoreStandIn implements AutoCloseable {

  /** The largest value in bytes. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  private static final String KEYS = "/v1/kv/";
  private static final String WATCHES = "/v1/watch/";
  private static final String LEASES = "/v1/leases";
  private static final String KEEPALIVE = "/keepalive";
  private static final String REVISION_HEADER = "X-Store-Revision";

  private record ValueAnswer(String value, long revision) {}

  private record RevisionAnswer(long revision) {}

  private record LeaseAnswer(long lease) {}

  private final TaskScheduler scheduler;
  private final StoreState state;
  private final StoreFaults faults = new StoreFaults();
  private final Map<StoreCall, AtomicLong> calls = new EnumMap<>(StoreCall.class);
  private final Map<Long, Long> leaseTtlsMs = new ConcurrentHashMap<>();
  private final HttpStandIn http;

  /**
   * Creates a store that is not started yet.
   *
   * @param clock measures leases; not null
   * @param scheduler ends watches and delays answers on the same time as the clock; not null
   * @param port the port, or 0 for any free one
   */
  public StoreStandIn(MillisClock clock, TaskScheduler scheduler, int port) {
    this.scheduler = scheduler;
    this.state = new StoreState(clock);
    for (StoreCall call : StoreCall.values()) {
      calls.put(call, new AtomicLong());
    }
    this.http =
        new HttpStandIn(
            "store", port, 0, FaultControl.wrap(faults, this::callCounts, this::serveWithFaults));
  }

  /** Starts to listen. */
  public void start() {
    http.start();
  }

  /** Stops to listen; new connections are refused. */
  public void stop() {
    http.stop();
  }

  @Override
  public void close() {
    stop();
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
   * Returns the fault switches.
   *
   * @return live switches; never null
   */
  public StoreFaults faults() {
    return faults;
  }

  /**
   * Returns how many calls of each kind arrived while the store was up.
   *
   * @return a copy; a waiting watch counts once
   */
  public Map<StoreCall, Long> callCounts() {
    Map<StoreCall, Long> counts = new EnumMap<>(StoreCall.class);
    calls.forEach((call, count) -> counts.put(call, count.get()));
    return counts;
  }

  /**
   * Returns how many calls of one kind arrived while the store was up.
   *
   * @param call the kind; not null
   * @return at least 0
   */
  public long callCount(StoreCall call) {
    return calls.get(call).get();
  }

  /**
   * Returns how many watches wait now.
   *
   * @return at least 0
   */
  public synchronized int waitingWatches() {
    return state.waitingWatches();
  }

  /**
   * Reads a value without a call.
   *
   * @param key the key; not null
   * @return the bytes, or empty if there are none
   */
  public synchronized Optional<byte[]> peek(String key) {
    return state.get(key).map(StoredValue::bytes);
  }

  private void serveWithFaults(Exchange exchange) {
    if (faults.isDown()) {
      exchange.drop();
    } else if (!faults.isSilent()) {
      serve(exchange);
    }
  }

  private void serve(Exchange exchange) {
    String path = exchange.path();
    if (path.startsWith(KEYS)) {
      serveKey(exchange, path.substring(KEYS.length()));
    } else if (path.startsWith(WATCHES)) {
      serveWatch(exchange, path.substring(WATCHES.length()));
    } else if (path.startsWith(LEASES)) {
      serveLease(exchange, path.substring(LEASES.length()));
    } else {
      exchange.answer(404);
    }
  }

  private void serveKey(Exchange exchange, String key) {
    switch (exchange.method()) {
      case "GET" -> serveGet(exchange, key);
      case "PUT" -> servePut(exchange, key);
      case "DELETE" -> serveDelete(exchange, key);
      default -> exchange.answer(405);
    }
  }

  private synchronized void serveGet(Exchange exchange, String key) {
    count(StoreCall.GET);
    Optional<StoredValue> value = state.get(key);
    exchange.put(REVISION_HEADER, state.revision());
    reply(exchange, value.isPresent() ? 200 : 404, value.map(StoreStandIn::toAnswer).orElse(null));
  }

  private static ValueAnswer toAnswer(StoredValue value) {
    return new ValueAnswer(Base64.getEncoder().encodeToString(value.bytes()), value.revision());
  }

  private synchronized void servePut(Exchange exchange, String key) {
    count(StoreCall.PUT);
    if (exchange.bodyLength() > MAX_VALUE_BYTES) {
      exchange.answer(413);
      return;
    }
    long expected = exchange.queryNumber("expectedRevision", 0);
    long lease = exchange.queryNumber("lease", 0);
    OptionalLong revision = state.put(key, expected, lease, exchange.body());
    if (revision.isEmpty()) {
      reply(exchange, 409, new RevisionAnswer(state.revisionOf(key)));
    } else {
      replyToWrite(exchange, new RevisionAnswer(revision.getAsLong()));
    }
  }

  private synchronized void serveDelete(Exchange exchange, String key) {
    count(StoreCall.DELETE);
    if (state.delete(key, exchange.queryNumber("expectedRevision", 0))) {
      replyToWrite(exchange, new RevisionAnswer(state.revision()));
    } else {
      reply(exchange, 409, new RevisionAnswer(state.revisionOf(key)));
    }
  }

  private synchronized void serveWatch(Exchange exchange, String key) {
    count(StoreCall.WATCH);
    long after = exchange.queryNumber("after", 0);
    Optional<StoredValue> old = state.getPrevious(key);
    if (faults.isStaleWatch() && old.isPresent()) {
      reply(exchange, 200, toAnswer(old.get()));
      return;
    }
    if (answerWatch(exchange, key, after)) {
      return;
    }
    awaitChange(exchange, key, after);
  }

  private void awaitChange(Exchange exchange, String key, long after) {
    Object watch = state.watch(key, after, () -> answerWoken(exchange, key, after));
    scheduler.schedule(
        exchange.queryNumber("waitMs", 0),
        () -> {
          synchronized (this) {
            state.expireLeases();
            if (state.unwatch(watch)) {
              exchange.answer(204);
            }
          }
        });
  }

  private boolean answerWatch(Exchange exchange, String key, long after) {
    Optional<StoredValue> value = state.get(key);
    if (value.isPresent() && value.get().revision() > after) {
      reply(exchange, 200, toAnswer(value.get()));
      return true;
    }
    if (after > 0 && state.isRemovedSince(key, after)) {
      // The wait ends, and the caller reads to see that the key has gone. A wait for the first
      // value (after = 0) goes on.
      exchange.answer(204);
      return true;
    }
    return false;
  }

  private void answerWoken(Exchange exchange, String key, long after) {
    if (faults.isDown() || faults.isSilent()) {
      exchange.drop();
    } else if (!answerWatch(exchange, key, after)) {
      exchange.answer(204);
    }
  }

  private synchronized void serveLease(Exchange exchange, String rest) {
    if (rest.isEmpty()) {
      count(StoreCall.LEASE_CREATE);
      long ttlMs = exchange.queryNumber("ttlMs", 0);
      long lease = state.createLease(ttlMs);
      leaseTtlsMs.put(lease, ttlMs);
      checkLater(ttlMs);
      reply(exchange, 200, new LeaseAnswer(lease));
    } else if (rest.endsWith(KEEPALIVE)) {
      count(StoreCall.LEASE_KEEPALIVE);
      long lease = Long.parseLong(rest.substring(1, rest.length() - KEEPALIVE.length()));
      boolean alive = state.keepAlive(lease);
      checkLater(leaseTtlsMs.getOrDefault(lease, 0L));
      reply(exchange, alive ? 200 : 404, null);
    } else {
      count(StoreCall.LEASE_END);
      state.endLease(Long.parseLong(rest.substring(1)));
      reply(exchange, 200, null);
    }
  }

  /** Wakes the watches of a lapsed lease's keys without waiting for the next call. */
  private void checkLater(long ttlMs) {
    scheduler.schedule(
        ttlMs,
        () -> {
          synchronized (this) {
            state.expireLeases();
          }
        });
  }

  private void count(StoreCall call) {
    calls.get(call).incrementAndGet();
  }

  private void replyToWrite(Exchange exchange, Object body) {
    if (faults.takeLostWriteReply()) {
      exchange.drop();
    } else {
      reply(exchange, 200, body);
    }
  }

  private void reply(Exchange exchange, int status, Object body) {
    Runnable answer =
        () -> {
          if (body == null) {
            exchange.answer(status);
          } else {
            exchange.answerJson(status, body);
          }
        };
    long delayMs = faults.getDelayMs();
    if (delayMs == 0) {
      answer.run();
    } else {
      scheduler.schedule(delayMs, answer);
    }
  }
}
