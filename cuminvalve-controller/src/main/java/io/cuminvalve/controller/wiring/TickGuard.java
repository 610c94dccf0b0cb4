package io.cuminvalve.controller.wiring;

import java.util.function.Consumer;

/**
 * Runs a periodic task and gives up once it has failed too often in a row.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class TickGuard implements Runnable {

  private final Runnable tick;
  private final int maxFailures;
  private final Consumer<RuntimeException> giveUp;
  private int failuresInRow;

  TickGuard(Runnable tick, int maxFailures, Consumer<RuntimeException> giveUp) {
    this.tick = tick;
    this.maxFailures = maxFailures;
    this.giveUp = giveUp;
  }

  /** Runs the task, unless it was given up. Failures before that are passed on. */
  @Override
  public void run() {
    if (failuresInRow >= maxFailures) {
      return;
    }
    try {
      tick.run();
      failuresInRow = 0;
    } catch (RuntimeException failure) {
      failuresInRow++;
      if (failuresInRow < maxFailures) {
        throw failure;
      }
      giveUp.accept(failure);
    }
  }
}
