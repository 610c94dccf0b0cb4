package io.cuminvalve.gateway.traffic;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.protocol.TargetLatency;
import java.util.Optional;

/**
 * What this gateway has under way at one target, and how the target has answered it lately.
 *
 * <p>Guarded by the lock of the {@link Dispatcher}.
 */
final class TargetSlots {

  /** Weight of the newest answer in the means; about the last ten answers count. */
  private static final double NEWEST = 0.1;

  /** The first pause after a target could not be reached; it doubles. */
  private static final long FIRST_PAUSE_MS = 250;

  private static final long LONGEST_PAUSE_MS = 4_000;

  /** By how much the limit grows with an answer in good time that used it up. */
  private static final double GROWTH = 0.2;

  /** What is left of the limit after an answer that took long, probably in the target's queue. */
  private static final double SHRINKAGE = 0.85;

  /** An answer took long if it took so many times the mean of its route. */
  private static final double LONG_TIME = 2.5;

  private final double mostInUse;

  private int inUse;
  private double slowness = 1;
  private double failureShare;
  private int failuresInRow;
  private long pausedUntilMs;
  private double limit;
  private double reportedTime;
  private int reportedAnswers;

  /**
   * Starts with an even part of what all gateways together may send there.
   *
   * @param evenPart how many requests that is; at least 1
   * @param mostInUse up to how many it may grow
   */
  TargetSlots(double evenPart, double mostInUse) {
    this.limit = evenPart;
    this.mostInUse = Math.max(evenPart, mostInUse);
  }

  boolean hasRoom() {
    return inUse < (int) limit;
  }

  int inUse() {
    return inUse;
  }

  void take() {
    inUse++;
  }

  void giveBack() {
    inUse--;
  }

  boolean isPaused(long nowMs) {
    return nowMs < pausedUntilMs;
  }

  /** Returns how long one more request is likely to take here, in relation to other targets. */
  double cost(int slots) {
    double queue = 1 + (double) inUse / slots;
    return slowness * queue * (1 + 4 * failureShare);
  }

  /** Takes an answer: its time in relation to the mean of its route over all targets. */
  void onAnswer(double relativeTime) {
    adjustLimit(relativeTime);
    reportedTime += relativeTime;
    reportedAnswers++;
    slowness += NEWEST * (relativeTime - slowness);
    failureShare -= NEWEST * failureShare;
    failuresInRow = 0;
    pausedUntilMs = 0;
  }

  private void adjustLimit(double relativeTime) {
    if (relativeTime > LONG_TIME) {
      limit = Math.max(1, limit * SHRINKAGE);
    } else if (inUse + 1 >= (int) limit) {
      limit = Math.min(mostInUse, limit + GROWTH);
    }
  }

  /** Takes an answer that says that the target failed or refused. */
  void onFailedAnswer() {
    failureShare += NEWEST * (1 - failureShare);
  }

  /** The target has asked for rest. */
  void onRest() {
    limit = 1;
  }

  /** Returns what was measured since the last call, if anything. */
  Optional<TargetLatency> takeTime(TargetId id) {
    if (reportedAnswers == 0) {
      return Optional.empty();
    }
    TargetLatency time = new TargetLatency(id, reportedTime / reportedAnswers, reportedAnswers);
    reportedTime = 0;
    reportedAnswers = 0;
    return Optional.of(time);
  }

  /** Takes an attempt that got no answer. */
  void onNoAnswer(long nowMs) {
    onFailedAnswer();
    limit = 1;
    long pauseMs = FIRST_PAUSE_MS << Math.min(failuresInRow, 4);
    failuresInRow++;
    pausedUntilMs = nowMs + Math.min(LONGEST_PAUSE_MS, pauseMs);
  }
}
