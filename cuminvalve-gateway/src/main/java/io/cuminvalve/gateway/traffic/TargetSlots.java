package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.TargetLatency;
import io.cuminvalve.core.waiting.CompletionPace;
import java.util.Optional;

/**
 * The adaptive concurrency limit of this gateway at one target, and its recent response statistics.
 *
 * <p>Guarded by the lock of the {@link Dispatcher}.
 */
final class TargetSlots {

  /** Weight of the newest response in the moving averages; about the last ten responses count. */
  private static final double EWMA_WEIGHT = 0.1;

  /** First pause after a target could not be reached; doubles with each failure in a row. */
  private static final long FIRST_PAUSE_MS = 250;

  private static final long MAX_PAUSE_MS = 4_000;

  /** Added to the limit after a fast response while the limit was fully used. */
  private static final double LIMIT_INCREASE = 0.2;

  /** Factor on the limit after a slow response, which probably waited in the target's queue. */
  private static final double LIMIT_DECREASE_FACTOR = 0.85;

  /** A response is slow if it took more than this many times the mean of its route. */
  private static final double SLOW_RESPONSE_RATIO = 2.5;

  private final double maxLimit;
  private final CompletionPace pace = new CompletionPace();

  private int inUse;
  private double relativeLatency = 1;
  private double failureShare;
  private int consecutiveFailures;
  private long pausedUntilMs;
  private double limit;
  private double unreportedTime;
  private int unreportedResponses;

  /**
   * Creates a limit that starts at an equal share of what all gateways together may send.
   *
   * @param equalShare the initial limit in requests; at least 1
   * @param maxLimit the limit up to which it may grow, in requests
   */
  TargetSlots(double equalShare, double maxLimit) {
    this.limit = equalShare;
    this.maxLimit = Math.max(equalShare, maxLimit);
  }

  boolean hasFreeSlot() {
    return inUse < (int) limit;
  }

  /** Like {@link #hasFreeSlot()}, with a share of the limit, which is one request at least. */
  boolean hasFreeSlot(double share) {
    return inUse < Math.max(1, (int) (limit * share));
  }

  int inUse() {
    return inUse;
  }

  void take() {
    inUse++;
  }

  void release() {
    inUse--;
  }

  boolean isPaused(long nowMs) {
    return nowMs < pausedUntilMs;
  }

  /** Records how long a request held its slot until the target responded or failed to. */
  void onCompletion(long tookMs) {
    pace.onCompletion(tookMs);
  }

  /**
   * Returns the recent time between completions while all slots are in use, in milliseconds.
   *
   * @param workMs what counts for a request if none has been completed; milliseconds
   */
  double msPerCompletion(long workMs) {
    double recentMs = pace.msPerCompletion((int) limit);
    return recentMs > 0 ? recentMs : workMs / Math.max(1.0, (int) limit);
  }

  /** Returns the expected time of one more request, relative to other targets. */
  double cost(int slots) {
    double queue = 1 + (double) inUse / slots;
    return relativeLatency * queue * (1 + 4 * failureShare);
  }

  /** Records a response; its time is relative to the mean of its route over all targets. */
  void onResponse(double relativeTime) {
    adjustLimit(relativeTime);
    unreportedTime += relativeTime;
    unreportedResponses++;
    relativeLatency += EWMA_WEIGHT * (relativeTime - relativeLatency);
    failureShare -= EWMA_WEIGHT * failureShare;
    consecutiveFailures = 0;
    pausedUntilMs = 0;
  }

  private void adjustLimit(double relativeTime) {
    if (relativeTime > SLOW_RESPONSE_RATIO) {
      limit = Math.max(1, limit * LIMIT_DECREASE_FACTOR);
    } else if (inUse + 1 >= (int) limit) {
      limit = Math.min(maxLimit, limit + LIMIT_INCREASE);
    }
  }

  /** Records a response by which the target failed or refused the request. */
  void onFailedResponse() {
    failureShare += EWMA_WEIGHT * (1 - failureShare);
  }

  /** Resets the limit to one request, since the target asked for a back-off. */
  void onBackoff() {
    limit = 1;
  }

  /** Returns the mean relative response time since the last call; empty without responses. */
  Optional<TargetLatency> takeLatency(TargetId id) {
    if (unreportedResponses == 0) {
      return Optional.empty();
    }
    TargetLatency latency =
        new TargetLatency(id, unreportedTime / unreportedResponses, unreportedResponses);
    unreportedTime = 0;
    unreportedResponses = 0;
    return Optional.of(latency);
  }

  /** Records an attempt without a response, resets the limit and pauses the target. */
  void onNoResponse(long nowMs) {
    onFailedResponse();
    limit = 1;
    long pauseMs = FIRST_PAUSE_MS << Math.min(consecutiveFailures, 4);
    consecutiveFailures++;
    pausedUntilMs = nowMs + Math.min(MAX_PAUSE_MS, pauseMs);
  }
}
