package io.cuminvalve.core.replay;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Actions in the order of their time; equal times in the order in which they were added.
 *
 * @since 0.1
 */
final class VirtualTime {

  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(Comparator.comparingLong(Action::atMs).thenComparingLong(Action::number));
  private long nowMs;
  private long added;

  private record Action(long atMs, long number, Runnable body) {}

  long nowMs() {
    return nowMs;
  }

  void at(long atMs, Runnable body) {
    actions.add(new Action(Math.max(nowMs, atMs), added++, body));
  }

  void after(long delayMs, Runnable body) {
    at(nowMs + delayMs, body);
  }

  /** Runs the next action; returns false if there is none. */
  boolean step() {
    Action next = actions.poll();
    if (next == null) {
      return false;
    }
    nowMs = next.atMs();
    next.body().run();
    return true;
  }
}
