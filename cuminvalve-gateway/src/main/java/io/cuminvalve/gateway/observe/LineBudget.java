package io.cuminvalve.gateway.observe;

/**
 * Allows so many lines a second and counts the others. Safe for use by several threads.
 *
 * @since 0.2
 */
final class LineBudget {

  private static final long WINDOW_MS = 1_000;

  private final int linesPerSecond;
  private long windowStartMs;
  private int written;
  private int suppressed;

  LineBudget(int linesPerSecond, long nowMs) {
    this.linesPerSecond = linesPerSecond;
    this.windowStartMs = nowMs;
  }

  /** Takes one line. Tells whether it may be written. */
  synchronized boolean take() {
    if (written >= linesPerSecond) {
      suppressed++;
      return false;
    }
    written++;
    return true;
  }

  /** Begins another second if one is over. Returns how many lines the last one suppressed. */
  synchronized int roll(long nowMs) {
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
