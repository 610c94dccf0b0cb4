package io.cuminvalve.core.reach;

/** What is known of the path from this gateway to one target. */
final class TargetPath {

  /** One connection request may get lost; two in a row seldom do. */
  private static final int TIMEOUTS_WITHOUT_PATH = 2;

  private static final int MAX_PROBE_INTERVALS = 4;

  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private long answeredMs = NEVER_MS;
  private long connectedMs = NEVER_MS;
  private long failedMs = NEVER_MS;
  private long probedMs = NEVER_MS;
  private long waitingSinceMs = NEVER_MS;
  private int waiting;
  private int timeoutsInRow;
  private boolean probing;
  private boolean doubted;

  void onSent(long nowMs) {
    if (waiting == 0) {
      waitingSinceMs = nowMs;
    }
    waiting++;
  }

  void onEnded() {
    waiting = Math.max(0, waiting - 1);
  }

  void onAnswer(long nowMs) {
    answeredMs = nowMs;
    waitingSinceMs = nowMs;
    timeoutsInRow = 0;
  }

  void onConnected(long nowMs) {
    connectedMs = nowMs;
    timeoutsInRow = 0;
    doubted = false;
  }

  void onFailed(ConnectFailure failure, long nowMs) {
    failedMs = nowMs;
    timeoutsInRow = failure == ConnectFailure.TIMEOUT ? timeoutsInRow + 1 : 0;
  }

  void onProbeStarted(long nowMs) {
    probing = true;
    doubted = false;
    probedMs = nowMs;
  }

  void onProbeEnded() {
    probing = false;
  }

  void onDoubt() {
    doubted = true;
  }

  /** Forgets failures that are explained by a path that was lost as a whole. */
  void forgetTimeouts() {
    timeoutsInRow = 0;
  }

  boolean isProbing() {
    return probing;
  }

  boolean isDoubted() {
    return doubted;
  }

  boolean needsConfirmation() {
    return timeoutsInRow == 1 && probedMs < failedMs;
  }

  boolean timesOut() {
    return timeoutsInRow >= TIMEOUTS_WITHOUT_PATH;
  }

  /** Returns how many intervals apart probes of it are: the longer it times out, the more. */
  int probeIntervals() {
    return Math.max(1, Math.min(MAX_PROBE_INTERVALS, timeoutsInRow - 1));
  }

  boolean isWaitingSince(long sinceMs) {
    return waiting > 0 && waitingSinceMs <= sinceMs;
  }

  long answeredMs() {
    return answeredMs;
  }

  long connectedMs() {
    return connectedMs;
  }

  long failedMs() {
    return failedMs;
  }

  long probedMs() {
    return probedMs;
  }
}
