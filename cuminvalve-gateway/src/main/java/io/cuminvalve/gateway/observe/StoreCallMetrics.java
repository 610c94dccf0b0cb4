package io.cuminvalve.gateway.observe;

import io.cuminvalve.ports.store.StoreCall;
import io.cuminvalve.ports.store.StoreCallOutcome;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts store calls by kind and outcome. Thread-safe.
 *
 * @since 0.2
 */
public final class StoreCallMetrics {

  private final Map<StoreCall, Map<StoreCallOutcome, LongAdder>> counts =
      new EnumMap<>(StoreCall.class);

  /** Creates counters at zero. */
  public StoreCallMetrics() {
    for (StoreCall call : StoreCall.values()) {
      Map<StoreCallOutcome, LongAdder> ends = new EnumMap<>(StoreCallOutcome.class);
      for (StoreCallOutcome outcome : StoreCallOutcome.values()) {
        ends.put(outcome, new LongAdder());
      }
      counts.put(call, ends);
    }
  }

  /**
   * Counts a call that has ended or was held back.
   *
   * @param call the kind of call; not null
   * @param outcome the outcome; not null
   */
  public void onEnded(StoreCall call, StoreCallOutcome outcome) {
    counts.get(call).get(outcome).increment();
  }

  /**
   * Returns the number of calls of a kind with an outcome.
   *
   * @param call the kind of call; not null
   * @param outcome the outcome; not null
   * @return at least 0
   */
  public long count(StoreCall call, StoreCallOutcome outcome) {
    return counts.get(call).get(outcome).sum();
  }

  /**
   * Returns the number of calls that were made, excluding those held back.
   *
   * @return at least 0
   */
  public long made() {
    long sum = 0;
    for (StoreCall call : StoreCall.values()) {
      for (StoreCallOutcome outcome : StoreCallOutcome.values()) {
        sum += outcome == StoreCallOutcome.HELD_BACK ? 0 : count(call, outcome);
      }
    }
    return sum;
  }
}
