package io.cuminvalve.gateway.observe;

/**
 * Permits a number of lines per second and counts the suppressed ones. Thread-safe.
 *
 * @since 0.2
 */
final class LineRateLimiter {

  private static final long WINDOW_MS = 1_000;

  private final int linesPerSecond;
  private long windowStartMs;
  private int written;
  private int suppressed;

  LineRateLimiter(int linesPerSecond, long nowMs) {
    this.linesPerSecond = linesPerSecond;
    this.windowStartMs = nowMs;
  }

  /** Returns whether one more line may be written in this window. */
  synchronized boolean tryAcquire() {
    if (written >= linesPerSecond) {
      suppressed++;
      return false;
    }
    written++;
    return true;
  }

  /**
   * Starts a new window if the current one has ended. Returns the number of lines that the last
   * window suppressed.
   */
  synchronized int startWindowIfDue(long nowMs) {
    if (nowMs - windowStartMs < WINDOW_MS) {
      return 0;
    }
    windowStartMs = nowMs;
    int dropped = suppressed;
    written = 0;
    suppressed = 0;
    return dropped;
  }
}
