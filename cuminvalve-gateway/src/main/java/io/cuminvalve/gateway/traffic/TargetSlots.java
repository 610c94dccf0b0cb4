package io.cuminvalve.gateway.traffic;

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

  private int inUse;
  private double slowness = 1;
  private double failureShare;
  private int failuresInRow;
  private long pausedUntilMs;

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
    slowness += NEWEST * (relativeTime - slowness);
    failureShare -= NEWEST * failureShare;
    failuresInRow = 0;
    pausedUntilMs = 0;
  }

  /** Takes an answer that says that the target failed or refused. */
  void onFailedAnswer() {
    failureShare += NEWEST * (1 - failureShare);
  }

  /** Takes an attempt that got no answer. */
  void onNoAnswer(long nowMs) {
    onFailedAnswer();
    long pauseMs = FIRST_PAUSE_MS << Math.min(failuresInRow, 4);
    failuresInRow++;
    pausedUntilMs = nowMs + Math.min(LONGEST_PAUSE_MS, pauseMs);
  }
}
