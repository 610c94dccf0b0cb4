package io.cuminvalve.core.balance;

import io.cuminvalve.core.lease.KeyRange;

/**
 * How much work each key of a service causes, as a decayed mean.
 *
 * <p>The unit is busy slots: one key that keeps one slot busy all the time has a load of 1. Work is
 * measured as the time from sending a request to its answer, so it counts the speed of the target
 * and its queue. Each key has a small load in advance, so that keys are spread evenly before
 * anything is known. Not safe for use by several threads.
 *
 * @since 0.2
 */
public final class KeyLoads {

  /** The load assumed for the whole key space before anything is measured; busy slots. */
  private static final double PRIOR_TOTAL = 0.5;

  private static final float PRIOR = (float) (PRIOR_TOTAL / KeyRange.KEY_COUNT);

  private final double timeConstantMs;
  private final float[] work = new float[KeyRange.KEY_COUNT];
  private long decayedAtMs;

  /**
   * Creates loads without any measurement.
   *
   * @param timeConstantMs after which a measurement counts a third as much; milliseconds
   * @param nowMs the time; milliseconds
   */
  public KeyLoads(double timeConstantMs, long nowMs) {
    this.timeConstantMs = timeConstantMs;
    this.decayedAtMs = nowMs;
  }

  /**
   * Adds measured work.
   *
   * @param key the key
   * @param workMs the time that its requests took; milliseconds
   */
  public void add(int key, double workMs) {
    work[key] += (float) (workMs / timeConstantMs);
  }

  /**
   * Lets older measurements count less.
   *
   * @param nowMs the time; milliseconds
   */
  public void decay(long nowMs) {
    float factor = (float) Math.exp(-(nowMs - decayedAtMs) / timeConstantMs);
    decayedAtMs = nowMs;
    for (int i = 0; i < work.length; i++) {
      work[i] *= factor;
    }
  }

  /**
   * Returns the load of a key.
   *
   * @param key the key
   * @return busy slots, above 0
   */
  public double of(int key) {
    return work[key] + PRIOR;
  }

  /**
   * Returns the load of a range.
   *
   * @param range the keys; not null
   * @return busy slots, above 0
   */
  public double of(KeyRange range) {
    double sum = 0;
    for (int key = range.first(); key <= range.last(); key++) {
      sum += work[key];
    }
    return sum + range.size() * (double) PRIOR;
  }
}
