package io.cuminvalve.ports.http;

import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The thread pool of an HTTP client or server, made for processes that have to start fast.
 *
 * <p>Jetty creates each thread under the access control of a security manager. This program has
 * none, and preparing the call takes 20 ms of processor time at every start.
 *
 * @since 0.2
 */
public final class DaemonThreadPool extends QueuedThreadPool {

  /**
   * Creates a pool that is not started yet.
   *
   * @param name prefix of the names of its threads; not null
   * @param maxThreads the most threads; at least 4, since some wait for the network
   * @param minThreads threads that are kept while there is nothing to do
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
