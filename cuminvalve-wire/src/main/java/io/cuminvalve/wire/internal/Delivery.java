package io.cuminvalve.wire.internal;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Passes the messages of one connection to an executor, and pauses reading while too many of them
 * are pending there.
 *
 * @since 0.1
 */
public final class Delivery {

  /** The number of pending messages of one connection at which reading is paused. */
  public static final int MAX_PENDING = 256;

  private final Executor executor;
  private final Reactor reactor;
  private final Connection connection;
  private final AtomicInteger pending = new AtomicInteger();
  private boolean paused;

  /**
   * Creates a delivery without pending messages.
   *
   * @param executor runs the message handlers; not null
   * @param reactor the thread that reads the connection; not null
   * @param connection the connection to pause; not null
   */
  public Delivery(Executor executor, Reactor reactor, Connection connection) {
    this.executor = executor;
    this.reactor = reactor;
    this.connection = connection;
  }

  /**
   * Passes on one message. Must be called on the reactor thread.
   *
   * @param handling handles the message; not null
   */
  public void deliver(Runnable handling) {
    if (pending.incrementAndGet() >= MAX_PENDING && !paused) {
      paused = true;
      connection.pauseReading(true);
    }
    executor.execute(() -> handle(handling));
  }

  private void handle(Runnable handling) {
    try {
      handling.run();
    } finally {
      if (pending.decrementAndGet() == MAX_PENDING / 2) {
        reactor.execute(this::resume);
      }
    }
  }

  private void resume() {
    if (paused && pending.get() < MAX_PENDING) {
      paused = false;
      connection.pauseReading(false);
    }
  }
}
