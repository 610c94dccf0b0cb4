package io.cuminvalve.gateway.observe;

import io.cuminvalve.kernel.MillisClock;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * Counts each decision and writes one line for it, of each kind at most so many a second.
 *
 * <p>A line is {@code event=NAME} and pairs {@code name=value} after it. Each event has a budget of
 * its own, so that a flood of one kind hides no other. Once a second is over, a line tells how many
 * lines of the event it suppressed.
 *
 * @since 0.2
 */
public final class DecisionLog {

  private final MillisClock clock;
  private final int linesPerSecond;
  private final Consumer<String> sink;
  private final Map<String, LineBudget> budgets = new ConcurrentHashMap<>();
  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
  private final LongAdder suppressed = new LongAdder();

  /**
   * Creates a log.
   *
   * @param clock measures the second; not null
   * @param linesPerSecond the most lines of one event in one second
   * @param sink takes the lines, without blocking; not null
   */
  public DecisionLog(MillisClock clock, int linesPerSecond, Consumer<String> sink) {
    this.clock = clock;
    this.linesPerSecond = linesPerSecond;
    this.sink = sink;
  }

  /**
   * Writes a line.
   *
   * @param event the stable name of what happened; not null
   * @param details pairs {@code name=value} with {@code {}} for each argument; not null
   * @param arguments the values; not null
   */
  public void write(String event, String details, Object... arguments) {
    counts.computeIfAbsent(event, name -> new LongAdder()).increment();
    long nowMs = clock.nowMs();
    LineBudget budget =
        budgets.computeIfAbsent(event, name -> new LineBudget(linesPerSecond, nowMs));
    int dropped = budget.roll(nowMs);
    if (dropped > 0) {
      sink.accept("event=log_suppressed of=" + event + " lines=" + dropped);
    }
    if (budget.take()) {
      sink.accept(format(event, details, arguments));
    } else {
      suppressed.increment();
    }
  }

  /**
   * Returns how many lines were suppressed.
   *
   * @return at least 0
   */
  public long suppressedLines() {
    return suppressed.sum();
  }

  /**
   * Returns how often each event happened, whether its line was written or not.
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
      int place = details.indexOf("{}", from);
      if (place < 0) {
        break;
      }
      line.append(details, from, place).append(argument);
      from = place + 2;
    }
    return line.append(details, from, details.length()).toString();
  }
}
