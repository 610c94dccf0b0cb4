package io.cuminvalve.testkit.time;

import io.cuminvalve.kernel.MillisClock;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock that moves only when a test says so, and runs scheduled tasks as it passes them.
 *
 * <p>Tasks run on the thread that advances the clock, in the order of their due times; tasks of one
 * due time run in the order in which they were scheduled. Thread-safe.
 *
 * @since 0.1
 */
public final class VirtualClock implements MillisClock, TaskScheduler {

  private record Task(long dueMs, long order, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueMs).thenComparingLong(Task::order));
  private long nowMs;
  private long nextOrder;

  /**
   * Creates a clock.
   *
   * @param startMs the first reading in milliseconds
   */
  public VirtualClock(long startMs) {
    nowMs = startMs;
  }

  @Override
  public synchronized long nowMs() {
    return nowMs;
  }

  @Override
  public synchronized void schedule(long delayMs, Runnable task) {
    tasks.add(new Task(nowMs + Math.max(0, delayMs), nextOrder++, task));
  }

  /**
   * Moves the clock forward and runs what falls due.
   *
   * @param durationMs milliseconds; at least 0
   */
  public void advance(long durationMs) {
    long endMs = nowMs() + durationMs;
    for (Task task = takeDue(endMs); task != null; task = takeDue(endMs)) {
      task.action().run();
    }
    synchronized (this) {
      nowMs = Math.max(nowMs, endMs);
    }
  }

  private synchronized Task takeDue(long endMs) {
    Task next = tasks.peek();
    if (next == null || next.dueMs() > endMs) {
      return null;
    }
    nowMs = Math.max(nowMs, next.dueMs());
    return tasks.poll();
  }
}
