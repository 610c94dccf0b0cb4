package io.cuminvalve.kernel;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off with jitter.
 *
 * <p>The pause doubles with each failure. Each pause is shortened at random by up to half, so that
 * processes that failed together do not retry together.
 *
 * @since 0.1
 */
public final class Backoff {

  private final long minMs;
  private final LongSupplier maxMs;
  private final RandomGenerator random;
  private long nextMs;

  /**
   * Creates a back-off with a fixed maximum.
   *
   * @param minMs the first pause, before jitter; milliseconds, at least 1
   * @param maxMs the maximum pause; milliseconds
   * @param random the source of jitter; not null
   */
  public Backoff(long minMs, long maxMs, RandomGenerator random) {
    this(minMs, () -> maxMs, random);
  }

  /**
   * Creates a back-off whose maximum may change.
   *
   * @param minMs the first pause, before jitter; milliseconds, at least 1
   * @param maxMs returns the current maximum pause; milliseconds; not null
   * @param random the source of jitter; not null
   */
  public Backoff(long minMs, LongSupplier maxMs, RandomGenerator random) {
    this.minMs = minMs;
    this.maxMs = maxMs;
    this.random = random;
    this.nextMs = minMs;
  }

  /**
   * Returns the next pause.
   *
   * @return milliseconds
   */
  public long nextMs() {
    long pauseMs = Math.min(nextMs, maxMs.getAsLong());
    nextMs = 2 * pauseMs;
    return pauseMs - random.nextLong(pauseMs / 2 + 1);
  }

  /** Resets the next pause to the minimum. */
  public void reset() {
    nextMs = minMs;
  }
}
