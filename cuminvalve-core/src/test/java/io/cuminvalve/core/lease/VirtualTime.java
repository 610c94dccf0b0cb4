package io.cuminvalve.core.lease;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** A simulated clock that advances in steps, with scheduled events and seeded random numbers. */
final class VirtualTime {

  private final SplittableRandom random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowMs;
  private long eventCount;

  VirtualTime(long seed) {
    random = new SplittableRandom(seed);
  }

  long nowMs() {
    return nowMs;
  }

  /** Returns a random number from 0 to the bound, exclusive. */
  int nextInt(int bound) {
    return random.nextInt(bound);
  }

  /** Returns true with a probability of one in {@code times}. */
  boolean oneIn(int times) {
    return random.nextInt(times) == 0;
  }

  /** Returns a random time within the bounds; the upper bound is exclusive. */
  long nextMs(long leastMs, long boundMs) {
    return random.nextLong(leastMs, boundMs);
  }

  double nextDouble() {
    return random.nextDouble();
  }

  void schedule(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, eventCount++, action));
  }

  /** Advances the clock, then runs the events that are due in order of time and scheduling. */
  void advance(long stepMs) {
    nowMs += stepMs;
    while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
      events.poll().action().run();
    }
  }

  /** A scheduled action. */
  private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }
}
