package io.cuminvalve.cli.story;

import java.time.LocalTime;
import java.time.format.DateTimeFormatter;

/**
 * Puts times of day, which have no date, on one axis: across midnight too, if what is read together
 * is shorter than half a day.
 */
final class DayAxis {

  private static final long DAY_MS = 86_400_000;
  private static final long NS_PER_MS = 1_000_000;
  private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("HH:mm:ss.SSS");

  private boolean empty = true;
  private boolean fresh = true;
  private long firstMs;
  private long lastMs;
  private long previousMs;

  /** Begins another log: its first line belongs near to what was read before. */
  void beginLog() {
    fresh = true;
  }

  /** Returns the place of a time, given as milliseconds of a day. */
  long place(long msOfDay) {
    long placed;
    if (empty) {
      placed = msOfDay;
      firstMs = placed;
      lastMs = placed;
    } else {
      placed = fresh ? nearestToAll(msOfDay) : nearest(msOfDay, previousMs);
    }
    empty = false;
    fresh = false;
    previousMs = placed;
    firstMs = Math.min(firstMs, placed);
    lastMs = Math.max(lastMs, placed);
    return placed;
  }

  private long nearestToAll(long msOfDay) {
    long toFirst = nearest(msOfDay, firstMs);
    long toLast = nearest(msOfDay, lastMs);
    return outsideMs(toLast) < outsideMs(toFirst) ? toLast : toFirst;
  }

  private long outsideMs(long placed) {
    return Math.max(0, Math.max(firstMs - placed, placed - lastMs));
  }

  private static long nearest(long msOfDay, long referenceMs) {
    return msOfDay + DAY_MS * Math.round((referenceMs - msOfDay) / (double) DAY_MS);
  }

  /** Returns the time of day at a place. */
  static String timeAt(long placedMs) {
    return LocalTime.ofNanoOfDay(Math.floorMod(placedMs, DAY_MS) * NS_PER_MS).format(TIME);
  }
}
