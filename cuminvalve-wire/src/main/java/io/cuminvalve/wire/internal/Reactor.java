package io.cuminvalve.wire.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Iterator;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.tinylog.Logger;

/**
 * An event loop: one thread that reads and writes all connections to peers.
 *
 * <p>Each iteration handles ready channels first, then tasks of other threads, then the tick with
 * its timeouts. After a pause of this process, data that has arrived in the meantime is thus read
 * before a peer can be considered silent.
 *
 * @since 0.1
 */
public final class Reactor implements AutoCloseable {

  private static final long TICK_MS = 10;

  private final Selector selector;
  private final Thread thread;
  private final Runnable tick;
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private volatile boolean closed;

  /**
   * Creates the thread without starting it.
   *
   * @param name the thread's name; not null
   * @param tick called once per iteration, about every ten milliseconds or more often; not null
   */
  public Reactor(String name, Runnable tick) {
    this.tick = tick;
    try {
      this.selector = Selector.open();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    this.thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /**
   * Queues a task to run on the thread.
   *
   * @param task the task; not null
   */
  public void execute(Runnable task) {
    tasks.add(task);
    selector.wakeup();
  }

  /**
   * Registers a channel. Must be called on the thread or before it starts.
   *
   * @param channel a channel in non-blocking mode; not null
   * @param operations the operations of interest
   * @param handler called when the channel is ready; not null
   * @return the selection key
   * @throws IOException if the channel is closed
   */
  public SelectionKey register(SelectableChannel channel, int operations, Runnable handler)
      throws IOException {
    return channel.register(selector, operations, handler);
  }

  /** Stops the thread and waits for it, so that no handler runs afterwards. */
  @Override
  public void close() {
    closed = true;
    selector.wakeup();
    if (thread.getState() == Thread.State.NEW) {
      // The thread was never started: run the pending tasks and close the selector here.
      run();
    } else if (Thread.currentThread() != thread) {
      joinThread();
    }
  }

  private void joinThread() {
    try {
      thread.join();
    } catch (InterruptedException interrupt) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try (selector) {
      while (!closed) {
        selector.select(TICK_MS);
        handleReady();
        runTasks();
        runLoggingFailures(tick);
      }
      runTasks();
    } catch (IOException failure) {
      Logger.error(failure, "Peer network stopped");
    }
  }

  private void handleReady() {
    Iterator<SelectionKey> ready = selector.selectedKeys().iterator();
    while (ready.hasNext()) {
      SelectionKey key = ready.next();
      ready.remove();
      if (key.isValid()) {
        runLoggingFailures((Runnable) key.attachment());
      }
    }
  }

  private void runTasks() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      runLoggingFailures(task);
    }
  }

  private static void runLoggingFailures(Runnable task) {
    try {
      task.run();
    } catch (CancelledKeyException closedMeanwhile) {
      // Another handler closed the connection in the same iteration.
    } catch (RuntimeException failure) {
      Logger.error(failure, "A handler of the peer network failed");
    }
  }
}
