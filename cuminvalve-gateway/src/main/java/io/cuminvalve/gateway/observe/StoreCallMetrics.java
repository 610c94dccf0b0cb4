package io.cuminvalve.gateway.observe;

import io.cuminvalve.ports.store.StoreCall;
import io.cuminvalve.ports.store.StoreCallOutcome;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts calls of the store, by kind and end. Safe for use by several threads.
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
      for (StoreCallOutcome end : StoreCallOutcome.values()) {
        ends.put(end, new LongAdder());
      }
      counts.put(call, ends);
    }
  }

  /**
   * Counts a call that has ended, or was not made.
   *
   * @param call what it did; not null
   * @param end how it ended; not null
   */
  public void onEnded(StoreCall call, StoreCallOutcome end) {
    counts.get(call).get(end).increment();
  }

  /**
   * Returns how many calls of a kind ended in a way.
   *
   * @param call what they did; not null
   * @param end how they ended; not null
   * @return at least 0
   */
  public long count(StoreCall call, StoreCallOutcome end) {
    return counts.get(call).get(end).sum();
  }

  /**
   * Returns how many calls were made, whatever their kind and end.
   *
   * @return at least 0
   */
  public long made() {
    long sum = 0;
    for (StoreCall call : StoreCall.values()) {
      for (StoreCallOutcome end : StoreCallOutcome.values()) {
        sum += end == StoreCallOutcome.HELD_BACK ? 0 : count(call, end);
      }
    }
    return sum;
  }
}
