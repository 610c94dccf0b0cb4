package io.cuminvalve.core.quota;

import java.util.Map;
import java.util.TreeMap;

/**
 * The requests that may be sent to one target: a token bucket whose last tokens are kept for the
 * most urgent of the priorities that ask.
 *
 * <p>Not safe for use by several threads.
 */
final class PriorityTokenBucket {

  /** How much may be saved up beyond one token, as the time in which it comes in. */
  private static final double SAVED_S = 0.5;

  /** The least of that: else nothing could be kept for urgent requests at a low rate. */
  private static final double LEAST_SAVED = 1;

  /** A limit of 0 is tried this often, or nobody would notice that it has ended. */
  static final double LEAST_PER_S = 0.05;

  /** A priority counts as asking for so long, or for the time of two tokens. */
  private static final long ASKING_MS = 2_000;

  private static final int MOST_PRIORITIES = 16;
  private static final double MS_PER_S = 1_000;
  private static final double ROUNDING = 1e-9;

  private final Map<Integer, Long> askedMsByPriority = new TreeMap<>();
  private double perS;
  private double tokens;
  private long refilledMs;

  /** Creates an empty bucket: nobody knows what was sent a moment ago. */
  PriorityTokenBucket(double perS, long nowMs) {
    this.perS = Math.max(LEAST_PER_S, perS);
    this.refilledMs = nowMs;
  }

  /** Changes the rate from now on. */
  void setRate(double nextPerS, double share, long nowMs) {
    refill(share, nowMs);
    perS = Math.max(LEAST_PER_S, nextPerS);
  }

  /**
   * Takes tokens.
   *
   * @param priority the priority of the requests; lower is more urgent
   * @param wanted how many are needed now
   * @param ahead how many more would be of use soon; given only while there are plenty
   * @param share the part of the rate that is to be given out here; 0 to 1
   * @param nowMs the time; milliseconds
   */
  int take(int priority, int wanted, int ahead, double share, long nowMs) {
    refill(share, nowMs);
    noteAsked(priority, nowMs);
    int granted = Math.min(wanted, available(threshold(priority)));
    tokens -= granted;
    int more = granted < wanted ? 0 : Math.min(ahead, available(1 + capacity() / 2));
    tokens -= more;
    return granted + more;
  }

  /** Returns after what time a request of a priority may be sent; milliseconds, at least 1. */
  long waitMs(int priority, double share) {
    double missing = threshold(priority) - tokens;
    return Math.max(1, (long) Math.ceil(missing * tokenMs(share)));
  }

  /** Returns the time in which one token comes in; milliseconds. */
  double tokenMs(double share) {
    return MS_PER_S / (perS * share);
  }

  private int available(double threshold) {
    return (int) Math.max(0, Math.floor(tokens - threshold + 1 + ROUNDING));
  }

  /** The most urgent priority needs one token; the least urgent one a full bucket. */
  private double threshold(int priority) {
    int before = 0;
    for (int asking : askedMsByPriority.keySet()) {
      before += asking < priority ? 1 : 0;
    }
    if (before == 0) {
      return 1;
    }
    return 1 + (capacity() - 1) * before / (askedMsByPriority.size() - 1);
  }

  private double capacity() {
    return 1 + Math.max(LEAST_SAVED, perS * SAVED_S);
  }

  private void noteAsked(int priority, long nowMs) {
    double askingMs = Math.max(ASKING_MS, 2 * MS_PER_S / perS);
    askedMsByPriority.values().removeIf(askedMs -> nowMs - askedMs > askingMs);
    if (askedMsByPriority.size() < MOST_PRIORITIES || askedMsByPriority.containsKey(priority)) {
      askedMsByPriority.put(priority, nowMs);
    }
  }

  private void refill(double share, long nowMs) {
    double gained = perS * share * Math.max(0, nowMs - refilledMs) / MS_PER_S;
    tokens = Math.min(capacity(), tokens + gained);
    refilledMs = Math.max(refilledMs, nowMs);
  }
}
