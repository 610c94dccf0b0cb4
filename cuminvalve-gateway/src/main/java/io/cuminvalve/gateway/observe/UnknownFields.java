package io.cuminvalve.gateway.observe;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts header fields of answers that nobody reads, and writes one line for each new name.
 *
 * <p>Such a field may ask for something that this version does not do. Safe for use by several
 * threads.
 *
 * @since 0.2
 */
public final class UnknownFields {

  /** Names come from targets, so their number is bounded; more are counted together. */
  static final int MOST_NAMES = 64;

  static final String OTHERS = "others";

  private static final int MOST_CHARACTERS = 64;

  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
  private final DecisionLog log;

  /**
   * Creates counters at zero.
   *
   * @param log takes a line for each new name; not null
   */
  public UnknownFields(DecisionLog log) {
    this.log = log;
  }

  /**
   * Counts the fields of an answer.
   *
   * @param names their names; not null
   * @param source which target answered, for the log; not null
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
    if (key.length() > MOST_CHARACTERS) {
      key = key.substring(0, MOST_CHARACTERS);
    }
    return counts.containsKey(key) || counts.size() < MOST_NAMES ? key : OTHERS;
  }

  /**
   * Returns how often each field came.
   *
   * @return never null
   */
  Map<String, LongAdder> counts() {
    return counts;
  }
}
