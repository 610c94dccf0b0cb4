package io.cuminvalve.core.fleet;

import java.util.OptionalInt;

/**
 * How busy a target was when it sent an answer, as it states itself.
 *
 * @param running requests that it is running; at least 0
 * @param waiting requests in its queue; at least 0
 * @param slots requests that it can run at the same time; at least 1
 * @param slowdownPercent how long work takes on its host at that moment, 100 if as usual; empty if
 *     not stated
 * @since 0.2
 */
public record TargetOccupancy(int running, int waiting, int slots, OptionalInt slowdownPercent) {

  /**
   * Estimates how long a request occupied a slot, without its time in the queue. The queue that it
   * found is taken to be as long as the one that it left behind.
   *
   * @param tookMs the time until the answer; milliseconds
   * @return milliseconds
   */
  public long serviceTimeMs(long tookMs) {
    return Math.round(tookMs / (1 + (double) waiting / slots));
  }
}
