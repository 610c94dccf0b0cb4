package io.cuminvalve.ports.http;

import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * A pool of daemon threads for an HTTP client or server in a process that must start fast.
 *
 * <p>By default, Jetty creates each thread under the access control of a security manager. This
 * program has none, and preparing that call takes 20 ms of CPU time at every start.
 *
 * @since 0.2
 */
public final class DaemonThreadPool extends QueuedThreadPool {

  /**
   * Creates a pool without starting it.
   *
   * @param name the prefix of the thread names; not null
   * @param maxThreads the maximum number of threads; at least 4, since some wait for the network
   * @param minThreads the number of threads kept while idle; limited to {@code maxThreads}
   */
  public DaemonThreadPool(String name, int maxThreads, int minThreads) {
    super(maxThreads, Math.min(minThreads, maxThreads));
    setName(name);
    setDaemon(true);
  }

  @Override
  public Thread newThread(Runnable work) {
    Thread thread = new Thread(work);
    thread.setDaemon(true);
    thread.setPriority(getThreadsPriority());
    thread.setName(getName() + "-" + thread.getId());
    return thread;
  }
}
