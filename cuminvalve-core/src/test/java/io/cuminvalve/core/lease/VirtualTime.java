package io.cuminvalve.core.lease;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Time that passes in steps, what happens in it, and the chance that decides what. */
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

  /** Draws one of so many numbers, from 0. */
  int nextInt(int bound) {
    return random.nextInt(bound);
  }

  /** Tells whether something happens that happens once in so many times. */
  boolean oneIn(int times) {
    return random.nextInt(times) == 0;
  }

  /** Draws a time. */
  long nextMs(long leastMs, long boundMs) {
    return random.nextLong(leastMs, boundMs);
  }

  double nextDouble() {
    return random.nextDouble();
  }

  void schedule(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, eventCount++, action));
  }

  /** Lets time pass; what is due happens in its order, at the end of the step. */
  void advance(long stepMs) {
    nowMs += stepMs;
    while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
      events.poll().action().run();
    }
  }

  /** Something that happens later. */
  private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMs, other.atMs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }
}
