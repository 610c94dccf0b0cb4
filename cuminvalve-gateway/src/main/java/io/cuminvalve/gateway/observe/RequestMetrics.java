package io.cuminvalve.gateway.observe;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts requests and their times, for each route.
 *
 * <p>Plain adders: the Prometheus client is loaded by the first scrape only, so it costs nothing at
 * the start of a process. Routes beyond the first {@value #MOST_ROUTES} count together. Safe for
 * use by several threads.
 *
 * @since 0.2
 */
public final class RequestMetrics {

  /** How many routes get counters of their own. */
  public static final int MOST_ROUTES = 64;

  /** Stands for every further route. */
  public static final String OTHER_ROUTES = "other";

  /** Upper bounds of the buckets; milliseconds. Latency objectives lie between 0.4 and 1.5 s. */
  private static final long[] BOUNDS_MS = {
    10, 20, 50, 100, 150, 200, 300, 400, 500, 700, 1_000, 1_500, 2_000, 3_000, 5_000, 10_000
  };

  private final Map<String, RouteCounts> byRoute = new ConcurrentHashMap<>();
  private final RouteCounts sent = new RouteCounts();
  private final Map<String, LongAdder> refusals = new ConcurrentHashMap<>();

  /**
   * Counts a request that has ended.
   *
   * @param route its route; not null
   * @param outcome how it ended; not null
   * @param tookMs from its head to its end; milliseconds
   */
  public void onEnded(String route, RequestOutcome outcome, long tookMs) {
    countsOf(route).add(outcome, tookMs);
  }

  /**
   * Counts a request that is about to be sent to a target.
   *
   * @param ageMs from the earliest time at which it may have arrived to its first byte at the
   *     target; milliseconds
   */
  public void onSent(long ageMs) {
    sent.add(RequestOutcome.ANSWERED, ageMs);
  }

  /**
   * Returns how old requests may have been at their first byte.
   *
   * @return never null
   */
  RouteCounts sent() {
    return sent;
  }

  /**
   * Counts why a request was given up.
   *
   * @param reason one of a bounded set of names; not null
   */
  public void onGivenUp(String reason) {
    refusals.computeIfAbsent(reason, name -> new LongAdder()).increment();
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
   * Returns how many requests were given up for each reason.
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
    String name = byRoute.size() < MOST_ROUTES ? route : OTHER_ROUTES;
    return byRoute.computeIfAbsent(name, any -> new RouteCounts());
  }

  /** What is counted for one route. */
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

    /** Returns how many answers fell into each bucket; the last one has no upper bound. */
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
