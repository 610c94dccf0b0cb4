package io.cuminvalve.kernel;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Creates named threads, and tasks that report their failures.
 *
 * @since 0.1
 */
public final class NamedThreads {

  private NamedThreads() {}

  /**
   * Returns a factory of daemon threads, numbered from 1.
   *
   * @param name the prefix of the thread names; not null
   * @return never null
   */
  public static ThreadFactory daemon(String name) {
    AtomicInteger count = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }

  static Runnable guarded(String name, Runnable task, FailureHandler failureHandler) {
    return () -> {
      try {
        task.run();
      } catch (Throwable failure) {
        failureHandler.onFailure(name, failure);
      }
    };
  }
}
