package io.cuminvalve.core.quota;

import java.util.Map;
import java.util.TreeMap;

/**
 * A token bucket for the requests to one target. The last tokens are reserved for the most urgent
 * of the active priorities.
 *
 * <p>Not thread-safe.
 */
final class PriorityTokenBucket {

  /** Capacity beyond the first token, as the time in which it fills up. */
  private static final double BURST_S = 0.5;

  /**
   * Minimum capacity beyond the first token. Without it, no tokens could be reserved for urgent
   * requests at a low rate.
   */
  private static final double MIN_BURST = 1;

  /** Minimum rate, so that requests still probe a target with a limit of 0 and detect its end. */
  static final double MIN_PER_S = 0.05;

  /** How long a priority counts as active after a request, or the time of two tokens if longer. */
  private static final long ACTIVE_MS = 2_000;

  private static final int MAX_PRIORITIES = 16;
  private static final double MS_PER_S = 1_000;
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Map<Integer, Long> requestedMsByPriority = new TreeMap<>();
  private double perS;
  private double tokens;
  private long refilledMs;

  /** Creates an empty bucket, since the requests sent before its creation are unknown. */
  PriorityTokenBucket(double perS, long nowMs) {
    this.perS = Math.max(MIN_PER_S, perS);
    this.refilledMs = nowMs;
  }

  /** Sets the rate that applies from now on. */
  void setRate(double nextPerS, double share, long nowMs) {
    refill(share, nowMs);
    perS = Math.max(MIN_PER_S, nextPerS);
  }

  /**
   * Takes tokens.
   *
   * @param priority the priority of the requests; lower is more urgent
   * @param wanted the number of tokens needed now
   * @param ahead the number of further tokens needed soon; granted only while the bucket is more
   *     than half full
   * @param share the part of the rate that this bucket may issue; 0 to 1
   * @param nowMs the current time in milliseconds
   */
  int take(int priority, int wanted, int ahead, double share, long nowMs) {
    refill(share, nowMs);
    recordRequest(priority, nowMs);
    int granted = Math.min(wanted, available(threshold(priority)));
    tokens -= granted;
    int prefetched = granted < wanted ? 0 : Math.min(ahead, available(1 + capacity() / 2));
    tokens -= prefetched;
    return granted + prefetched;
  }

  /** Returns when a request of a priority may be sent; milliseconds from now, at least 1. */
  long waitMs(int priority, double share) {
    double missing = threshold(priority) - tokens;
    return Math.max(1, (long) Math.ceil(missing * tokenIntervalMs(share)));
  }

  /** Returns the time between two new tokens; milliseconds. */
  double tokenIntervalMs(double share) {
    return MS_PER_S / (perS * share);
  }

  private int available(double threshold) {
    return (int) Math.max(0, Math.floor(tokens - threshold + 1 + ROUNDING_TOLERANCE));
  }

  /**
   * Returns the required fill level: one token for the most urgent priority, full for the least.
   */
  private double threshold(int priority) {
    int moreUrgent = 0;
    for (int active : requestedMsByPriority.keySet()) {
      moreUrgent += active < priority ? 1 : 0;
    }
    if (moreUrgent == 0) {
      return 1;
    }
    return 1 + (capacity() - 1) * moreUrgent / (requestedMsByPriority.size() - 1);
  }

  private double capacity() {
    return 1 + Math.max(MIN_BURST, perS * BURST_S);
  }

  private void recordRequest(int priority, long nowMs) {
    double activeMs = Math.max(ACTIVE_MS, 2 * MS_PER_S / perS);
    requestedMsByPriority.values().removeIf(requestedMs -> nowMs - requestedMs > activeMs);
    if (requestedMsByPriority.size() < MAX_PRIORITIES
        || requestedMsByPriority.containsKey(priority)) {
      requestedMsByPriority.put(priority, nowMs);
    }
  }

  private void refill(double share, long nowMs) {
    double gained = perS * share * Math.max(0, nowMs - refilledMs) / MS_PER_S;
    tokens = Math.min(capacity(), tokens + gained);
    refilledMs = Math.max(refilledMs, nowMs);
  }
}
