package io.cuminvalve.core.waiting;

import java.util.Comparator;

/**
 * The order in which queued requests get places: by priority; within a priority, those that can
 * still be complete within their aim, earliest aim first, then the others, earliest deadline first.
 *
 * <p>Load: queues in which some requests are late already. They must not make others late.
 *
 * @since 0.2
 */
public final class ServiceOrder {

  /**
   * A queued request.
   *
   * @param priority its priority; 0 is the most urgent
   * @param times its times; not null
   * @param workMs the expected time from its place to its response; milliseconds
   * @param number its number in the order of arrival
   */
  public record Entry(int priority, RequestTimes times, long workMs, long number) {}

  private ServiceOrder() {}

  /**
   * Returns the order at a moment.
   *
   * @param nowMs the moment; milliseconds
   * @return never null
   */
  public static Comparator<Entry> at(long nowMs) {
    return Comparator.comparingInt(Entry::priority)
        .thenComparing((Entry entry) -> isPastAim(entry, nowMs))
        .thenComparingLong((Entry entry) -> dueMs(entry, nowMs))
        .thenComparingLong(Entry::number);
  }

  private static long dueMs(Entry entry, long nowMs) {
    return isPastAim(entry, nowMs) ? entry.times().deadlineMs() : entry.times().aimMs();
  }

  private static boolean isPastAim(Entry entry, long nowMs) {
    return nowMs + entry.workMs() > entry.times().aimMs();
  }
}
