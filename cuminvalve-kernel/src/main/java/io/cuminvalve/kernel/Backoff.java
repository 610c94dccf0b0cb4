package io.cuminvalve.kernel;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Pauses that double from one failure to the next, each shortened at random by up to half so that
 * processes that failed together do not try again together.
 *
 * @since 0.1
 */
public final class Backoff {

  private final long minMs;
  private final LongSupplier maxMs;
  private final RandomGenerator random;
  private long nextMs;

  /**
   * Creates pauses that start at the shortest.
   *
   * @param minMs the shortest pause before it is shortened; milliseconds, at least 1
   * @param maxMs the longest pause; milliseconds
   * @param random shortens pauses; not null
   */
  public Backoff(long minMs, long maxMs, RandomGenerator random) {
    this(minMs, () -> maxMs, random);
  }

  /**
   * Creates pauses that start at the shortest and whose longest may change.
   *
   * @param minMs the shortest pause before it is shortened; milliseconds, at least 1
   * @param maxMs the longest pause at the moment; milliseconds; not null
   * @param random shortens pauses; not null
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

  /** Starts again at the shortest pause. */
  public void reset() {
    nextMs = minMs;
  }
}
