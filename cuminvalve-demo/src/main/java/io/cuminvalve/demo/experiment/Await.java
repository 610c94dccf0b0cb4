package io.cuminvalve.demo.experiment;

import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions. */
final class Await {

  private static final long TIMEOUT_MS = 60_000;
  private static final long POLL_MS = 50;

  private Await() {}

  /** Waits for a condition; fails with code TIMEOUT after a minute. */
  static void until(BooleanSupplier condition, String failure) throws InterruptedException {
    if (!holdsWithin(condition, TIMEOUT_MS)) {
      throw new CodedException(ErrorCode.TIMEOUT, failure);
    }
  }

  /** Waits for a condition; tells whether it came true in time. */
  static boolean holdsWithin(BooleanSupplier condition, long timeoutMs)
      throws InterruptedException {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNs) {
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
    return true;
  }
}
