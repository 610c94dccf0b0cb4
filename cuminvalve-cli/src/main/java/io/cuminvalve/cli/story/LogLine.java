package io.cuminvalve.cli.story;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * One decision as a gateway wrote it.
 *
 * @param atMs when, in milliseconds on the one axis of all lines that were read together
 * @param second the second that a collector put before the line; a dash if there is none; not null
 * @param time the time of day as it stands there; not null
 * @param process who wrote it; not null
 * @param event the name of the decision; not null
 * @param values what follows it, by name; not null
 * @since 0.2
 */
public record LogLine(
    long atMs,
    String second,
    String time,
    String process,
    String event,
    Map<String, String> values) {

  /** Stands for what a line does not say. */
  public static final String NONE = "-";

  /** Copies the values and keeps their order. */
  public LogLine {
    values = Collections.unmodifiableMap(new LinkedHashMap<>(values));
  }

  /**
   * Returns a value.
   *
   * @param name its name; not null
   * @return a dash if it is not there; never null
   */
  public String value(String name) {
    return values.getOrDefault(name, NONE);
  }

  /** Tells whether a value is there and equals another. */
  boolean has(String name, String value) {
    return value.equals(values.get(name));
  }

  /** Returns a whole number; 0 if it is not there or none. */
  long number(String name) {
    try {
      return Long.parseLong(value(name));
    } catch (NumberFormatException none) {
      return 0;
    }
  }

  /** Returns a number with two digits behind the point at most. */
  String shortNumber(String name) {
    return value(name).replaceAll("(\\.\\d\\d)\\d+", "$1");
  }

  /** Tells whether its range of keys has a key; false if it names no range. */
  boolean covers(int key) {
    int[] range = range();
    return range.length > 0 && range[0] <= key && key <= range[1];
  }

  /** Tells whether its range of keys and that of another have a key in common. */
  boolean overlaps(LogLine other) {
    int[] range = range();
    int[] others = other.range();
    return range.length > 0 && others.length > 0 && range[0] <= others[1] && others[0] <= range[1];
  }

  /** Returns the first and the last key of its range; nothing if it names none. */
  private int[] range() {
    String[] bounds = value("keys").split("-", -1);
    if (bounds.length != 2) {
      return new int[0];
    }
    try {
      return new int[] {Integer.parseInt(bounds[0]), Integer.parseInt(bounds[1])};
    } catch (NumberFormatException noRange) {
      return new int[0];
    }
  }

  /** Returns the key of the request that it is about; empty if it names none. */
  OptionalInt key() {
    try {
      return OptionalInt.of(Integer.parseInt(value("key")));
    } catch (NumberFormatException noKey) {
      return OptionalInt.empty();
    }
  }

  /** Returns when the request that it is about arrived, on the axis of {@link #atMs}. */
  long arrivedMs() {
    return atMs - number("age_ms");
  }
}
