package io.cuminvalve.kernel;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A fixed-size thread pool with a bounded queue, for request traffic.
 *
 * @since 0.1
 */
public final class TrafficPool implements Executor, AutoCloseable {

  private final String name;
  private final FailureHandler failureHandler;
  private final ThreadPoolExecutor executor;

  /**
   * Creates the pool.
   *
   * @param name the prefix of the thread names; not null
   * @param threads the number of threads; at least 1
   * @param queueCapacity the maximum number of waiting tasks; at least 1
   * @param failureHandler called for each task that throws; not null
   */
  public TrafficPool(String name, int threads, int queueCapacity, FailureHandler failureHandler) {
    this.name = name;
    this.failureHandler = failureHandler;
    this.executor =
        new ThreadPoolExecutor(
            threads,
            threads,
            0,
            TimeUnit.MILLISECONDS,
            new ArrayBlockingQueue<>(queueCapacity),
            NamedThreads.daemon(name));
  }

  /**
   * Runs a task on a thread of the pool.
   *
   * @param task the task; not null
   * @throws CodedException with code UNAVAILABLE if the queue is full or the pool is closed
   */
  @Override
  public void execute(Runnable task) {
    try {
      executor.execute(NamedThreads.guarded(name, task, failureHandler));
    } catch (RejectedExecutionException full) {
      throw new CodedException(
          ErrorCode.UNAVAILABLE,
          "executor " + name + " rejected a task: queue full or pool closed",
          full);
    }
  }

  /** Stops the threads and discards tasks that have not started. */
  @Override
  public void close() {
    executor.shutdownNow();
  }
}
