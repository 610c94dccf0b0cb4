package io.cuminvalve.core.balance;

import io.cuminvalve.core.lease.KeyRange;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;

/**
 * Spreads the moves of keys out of evacuated data centres over a short time.
 *
 * <p>A key is served by nobody while it moves, and its owner still serves it until then. Moving all
 * keys at once would close all of them until the last owner has answered. The busiest ranges move
 * first. Not thread-safe.
 *
 * @since 0.2
 */
public final class EvacuationPace {

  /** All moves have started after this time, well before owners stop serving. */
  static final long SPREAD_MS = 1_000;

  /** Time between two cycles of the term holder, for which each call plans ahead. */
  private static final long CYCLE_MS = 50;

  private OptionalLong startedMs = OptionalLong.empty();
  private int total;

  /**
   * Returns which ranges to move now.
   *
   * @param remaining all ranges whose owner is in an evacuated data centre; not null
   * @param loads the load of each key; not null
   * @param nowMs the current time; milliseconds
   * @return the busiest ranges, all of them once the time is over; never null
   */
  public List<KeyRange> due(List<KeyRange> remaining, KeyLoads loads, long nowMs) {
    if (remaining.isEmpty()) {
      startedMs = OptionalLong.empty();
      total = 0;
      return List.of();
    }
    if (startedMs.isEmpty()) {
      startedMs = OptionalLong.of(nowMs);
    }
    total = Math.max(total, remaining.size());
    long elapsedMs = nowMs - startedMs.getAsLong() + CYCLE_MS;
    double share = Math.min(1, (double) elapsedMs / SPREAD_MS);
    int moved = total - remaining.size();
    int count = Math.max(0, (int) Math.ceil(share * total) - moved);
    return remaining.stream()
        .sorted(Comparator.comparingDouble((KeyRange range) -> -loads.of(range)))
        .limit(count)
        .toList();
  }
}
