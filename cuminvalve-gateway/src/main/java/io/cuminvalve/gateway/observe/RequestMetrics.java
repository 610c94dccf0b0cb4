package io.cuminvalve.gateway.observe;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts requests and measures their durations by route.
 *
 * <p>It uses plain adders. The Prometheus client is loaded by the first scrape only, so it does not
 * slow down startup. Routes beyond the first {@value #MAX_ROUTES} are counted together.
 * Thread-safe.
 *
 * @since 0.2
 */
public final class RequestMetrics {

  /** Maximum number of routes with separate counters. */
  public static final int MAX_ROUTES = 64;

  /** Name under which all further routes are counted. */
  public static final String OTHER_ROUTES = "other";

  /** Upper bounds of the buckets; milliseconds. Latency objectives lie between 0.4 and 1.5 s. */
  private static final long[] BOUNDS_MS = {
    10, 20, 50, 100, 150, 200, 300, 400, 500, 700, 1_000, 1_500, 2_000, 3_000, 5_000, 10_000
  };

  private final Map<String, RouteCounts> byRoute = new ConcurrentHashMap<>();
  private final RouteCounts sent = new RouteCounts();
  private final Map<String, LongAdder> refusals = new ConcurrentHashMap<>();
  private final Map<String, LongAdder> servedPastAim = new ConcurrentHashMap<>();
  private final Map<String, LongAdder> forwarded = new ConcurrentHashMap<>();
  private final Map<String, LongAdder> relayed = new ConcurrentHashMap<>();

  /**
   * Counts a completed request.
   *
   * @param route the route of the request; not null
   * @param outcome the outcome; not null
   * @param tookMs the time from the request head to the end; milliseconds
   */
  public void onEnded(String route, RequestOutcome outcome, long tookMs) {
    countsOf(route).add(outcome, tookMs);
  }

  /**
   * Counts a request that is about to be sent to a target.
   *
   * @param ageMs the time from the earliest possible arrival of the request to the first byte sent
   *     to the target; milliseconds
   */
  public void onSent(long ageMs) {
    sent.add(RequestOutcome.ANSWERED, ageMs);
  }

  /**
   * Returns the ages of requests when their first byte was sent.
   *
   * @return never null
   */
  RouteCounts sent() {
    return sent;
  }

  /**
   * Counts a request that was given up.
   *
   * @param reason the reason, one of a bounded set of names; not null
   */
  public void onGivenUp(String reason) {
    refusals.computeIfAbsent(reason, name -> new LongAdder()).increment();
  }

  /**
   * Counts a request that was served later than its latency objective.
   *
   * @param service the service that served it; not null
   */
  public void onServedPastAim(String service) {
    servedPastAim.computeIfAbsent(service, name -> new LongAdder()).increment();
  }

  /**
   * Returns the number of requests served later than their latency objective by service.
   *
   * @return never null
   */
  Map<String, LongAdder> servedPastAim() {
    return servedPastAim;
  }

  /**
   * Counts an attempt to have a peer send a request.
   *
   * @param outcome the outcome, one of a bounded set of names; not null
   */
  public void onForwarded(String outcome) {
    forwarded.computeIfAbsent(outcome, name -> new LongAdder()).increment();
  }

  /**
   * Counts a request that a peer relayed to this gateway.
   *
   * @param outcome the outcome, one of a bounded set of names; not null
   */
  public void onRelayed(String outcome) {
    relayed.computeIfAbsent(outcome, name -> new LongAdder()).increment();
  }

  /**
   * Returns the number of attempts at peers by outcome.
   *
   * @return never null
   */
  Map<String, LongAdder> forwarded() {
    return forwarded;
  }

  /**
   * Returns the number of requests of peers by outcome.
   *
   * @return never null
   */
  Map<String, LongAdder> relayed() {
    return relayed;
  }

  /**
   * Returns the counts of each route.
   *
   * @return never null
   */
  Map<String, RouteCounts> byRoute() {
    return byRoute;
  }

  /**
   * Returns the number of requests given up by reason.
   *
   * @return never null
   */
  Map<String, LongAdder> givenUp() {
    return refusals;
  }

  private RouteCounts countsOf(String route) {
    RouteCounts known = byRoute.get(route);
    if (known != null) {
      return known;
    }
    String name = byRoute.size() < MAX_ROUTES ? route : OTHER_ROUTES;
    return byRoute.computeIfAbsent(name, unused -> new RouteCounts());
  }

  /** The counters of one route. */
  static final class RouteCounts {

    private final Map<RequestOutcome, LongAdder> outcomes = new EnumMap<>(RequestOutcome.class);
    private final LongAdder[] buckets = new LongAdder[BOUNDS_MS.length + 1];
    private final LongAdder sumMs = new LongAdder();

    RouteCounts() {
      for (RequestOutcome outcome : RequestOutcome.values()) {
        outcomes.put(outcome, new LongAdder());
      }
      for (int i = 0; i < buckets.length; i++) {
        buckets[i] = new LongAdder();
      }
    }

    private void add(RequestOutcome outcome, long tookMs) {
      outcomes.get(outcome).increment();
      if (outcome == RequestOutcome.ANSWERED) {
        buckets[bucketOf(tookMs)].increment();
        sumMs.add(tookMs);
      }
    }

    private static int bucketOf(long tookMs) {
      int bucket = 0;
      while (bucket < BOUNDS_MS.length && tookMs > BOUNDS_MS[bucket]) {
        bucket++;
      }
      return bucket;
    }

    long count(RequestOutcome outcome) {
      return outcomes.get(outcome).sum();
    }

    /** Returns the upper bounds of the buckets; milliseconds. */
    static long[] boundsMs() {
      return BOUNDS_MS.clone();
    }

    /** Returns the number of answers in each bucket; the last one has no upper bound. */
    long[] bucketCounts() {
      long[] counts = new long[buckets.length];
      for (int i = 0; i < counts.length; i++) {
        counts[i] = buckets[i].sum();
      }
      return counts;
    }

    long sumMs() {
      return sumMs.sum();
    }
  }
}
