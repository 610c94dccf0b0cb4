package io.cuminvalve.gateway.observe;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts unknown header fields of responses and logs each new name once.
 *
 * <p>Such a field may request a feature that this version does not support. Thread-safe.
 *
 * @since 0.2
 */
public final class UnknownFields {

  /**
   * Maximum number of separate names. Names are chosen by targets, so further ones are counted
   * together.
   */
  static final int MAX_NAMES = 64;

  static final String OTHERS = "others";

  private static final int MAX_NAME_LENGTH = 64;

  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
  private final DecisionLog log;

  /**
   * Creates counters at zero.
   *
   * @param log the decision log; receives a line for each new name; not null
   */
  public UnknownFields(DecisionLog log) {
    this.log = log;
  }

  /**
   * Counts the unknown fields of a response.
   *
   * @param names the names of the fields; not null
   * @param source the target that responded, for the log; not null
   */
  public void onAnswer(List<String> names, Object source) {
    for (String name : names) {
      String key = keyOf(name);
      LongAdder count = counts.get(key);
      if (count == null) {
        LongAdder created = new LongAdder();
        count = counts.putIfAbsent(key, created);
        if (count == null) {
          count = created;
          log.write("answer_field_unknown", "field={} target={}", key, source);
        }
      }
      count.increment();
    }
  }

  private String keyOf(String name) {
    String key = name.toLowerCase(Locale.ROOT);
    if (key.length() > MAX_NAME_LENGTH) {
      key = key.substring(0, MAX_NAME_LENGTH);
    }
    return counts.containsKey(key) || counts.size() < MAX_NAMES ? key : OTHERS;
  }

  /**
   * Returns the number of occurrences of each field.
   *
   * @return never null
   */
  Map<String, LongAdder> counts() {
    return counts;
  }
}
