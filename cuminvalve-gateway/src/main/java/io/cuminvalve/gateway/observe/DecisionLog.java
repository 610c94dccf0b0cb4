package io.cuminvalve.gateway.observe;

import io.cuminvalve.kernel.MillisClock;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Writes one line for each decision, at most so many a second; the rest is counted.
 *
 * <p>A line is {@code event=NAME} and pairs {@code name=value} after it. Lines go to a writer
 * thread, so that a slow reader of the log never holds up a request.
 *
 * @since 0.2
 */
public final class DecisionLog {

  private static final long WINDOW_MS = 1_000;

  private final MillisClock clock;
  private final int linesPerSecond;
  private final AtomicLong windowStartMs = new AtomicLong();
  private final AtomicInteger written = new AtomicInteger();
  private final AtomicInteger suppressed = new AtomicInteger();

  /**
   * Creates a log.
   *
   * @param clock measures the second; not null
   * @param linesPerSecond the most lines in one second
   */
  public DecisionLog(MillisClock clock, int linesPerSecond) {
    this.clock = clock;
    this.linesPerSecond = linesPerSecond;
  }

  /**
   * Writes a line.
   *
   * @param event the stable name of what happened; not null
   * @param details pairs {@code name=value} with {@code {}} for each argument; not null
   * @param arguments the values; not null
   */
  public void write(String event, String details, Object... arguments) {
    long nowMs = clock.nowMs();
    long startMs = windowStartMs.get();
    if (nowMs - startMs >= WINDOW_MS && windowStartMs.compareAndSet(startMs, nowMs)) {
      written.set(0);
      int dropped = suppressed.getAndSet(0);
      if (dropped > 0) {
        Logger.info("event=log_suppressed lines={}", dropped);
      }
    }
    if (written.incrementAndGet() > linesPerSecond) {
      suppressed.incrementAndGet();
      return;
    }
    Logger.info("event=" + event + " " + details, arguments);
  }
}
