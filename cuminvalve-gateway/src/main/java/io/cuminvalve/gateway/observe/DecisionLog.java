package io.cuminvalve.gateway.observe;

import io.cuminvalve.kernel.MillisClock;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * Counts decisions by event and logs each as a line, with a rate limit per event.
 *
 * <p>A line consists of {@code event=NAME} followed by pairs {@code name=value}. Each event has its
 * own limit, so that a flood of one event does not hide others. The first line of an event after
 * the end of a second is preceded by a line with the number of suppressed lines.
 *
 * @since 0.2
 */
public final class DecisionLog {

  private final MillisClock clock;
  private final int linesPerSecond;
  private final Consumer<String> sink;
  private final Map<String, LineRateLimiter> limiters = new ConcurrentHashMap<>();
  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
  private final LongAdder suppressed = new LongAdder();

  /**
   * Creates a log.
   *
   * @param clock the time; not null
   * @param linesPerSecond the maximum number of lines per event and second
   * @param sink receives the lines; must not block; not null
   */
  public DecisionLog(MillisClock clock, int linesPerSecond, Consumer<String> sink) {
    this.clock = clock;
    this.linesPerSecond = linesPerSecond;
    this.sink = sink;
  }

  /**
   * Counts an event and writes its line unless the limit is exceeded.
   *
   * @param event the stable name of the event; not null
   * @param details pairs {@code name=value} with {@code {}} for each argument; not null
   * @param arguments the values of the placeholders; not null
   */
  public void write(String event, String details, Object... arguments) {
    counts.computeIfAbsent(event, name -> new LongAdder()).increment();
    long nowMs = clock.nowMs();
    LineRateLimiter limiter =
        limiters.computeIfAbsent(event, name -> new LineRateLimiter(linesPerSecond, nowMs));
    int dropped = limiter.startWindowIfDue(nowMs);
    if (dropped > 0) {
      sink.accept("event=log_suppressed of=" + event + " lines=" + dropped);
    }
    if (limiter.tryAcquire()) {
      sink.accept(format(event, details, arguments));
    } else {
      suppressed.increment();
    }
  }

  /**
   * Returns the number of suppressed lines.
   *
   * @return at least 0
   */
  public long suppressedLines() {
    return suppressed.sum();
  }

  /**
   * Returns the number of occurrences of each event, including suppressed lines.
   *
   * @return never null
   */
  Map<String, LongAdder> counts() {
    return counts;
  }

  private static String format(String event, String details, Object... arguments) {
    StringBuilder line = new StringBuilder(160).append("event=").append(event).append(' ');
    int from = 0;
    for (Object argument : arguments) {
      int placeholder = details.indexOf("{}", from);
      if (placeholder < 0) {
        break;
      }
      line.append(details, from, placeholder).append(argument);
      from = placeholder + 2;
    }
    return line.append(details, from, details.length()).toString();
  }
}
