package io.cuminvalve.core.balance;

import io.cuminvalve.core.lease.KeyRange;

/**
 * The load of each key of a service, as an exponentially decaying mean.
 *
 * <p>The unit is busy slots: a key that occupies one slot all the time has a load of 1. Work is
 * measured as the time from sending a request to its response, so it includes the speed and the
 * queue of the target. Each key starts with a small load, so that keys are spread evenly before
 * anything is measured. Not thread-safe.
 *
 * @since 0.2
 */
public final class KeyLoads {

  /** The load assumed for the whole key space before any measurement; busy slots. */
  private static final double INITIAL_TOTAL_LOAD = 0.5;

  private static final float INITIAL_KEY_LOAD = (float) (INITIAL_TOTAL_LOAD / KeyRange.KEY_COUNT);

  private final double timeConstantMs;
  private final float[] work = new float[KeyRange.KEY_COUNT];
  private long decayedAtMs;

  /**
   * Creates loads without measurements.
   *
   * @param timeConstantMs the time after which the weight of a measurement has decayed to 1/e;
   *     milliseconds
   * @param nowMs the current time in milliseconds
   */
  public KeyLoads(double timeConstantMs, long nowMs) {
    this.timeConstantMs = timeConstantMs;
    this.decayedAtMs = nowMs;
  }

  /**
   * Adds measured work of a key.
   *
   * @param key the key
   * @param workMs the total duration of its requests; milliseconds
   */
  public void add(int key, double workMs) {
    work[key] += (float) (workMs / timeConstantMs);
  }

  /**
   * Decays the measurements up to the current time.
   *
   * @param nowMs the current time in milliseconds
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
    return work[key] + INITIAL_KEY_LOAD;
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
    return sum + range.size() * (double) INITIAL_KEY_LOAD;
  }
}
