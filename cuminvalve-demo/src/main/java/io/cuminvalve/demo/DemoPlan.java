package io.cuminvalve.demo;

/**
 * How much load, and how long.
 *
 * @param ratePerSecond operations a second of each of the two loads
 * @param phaseMs the length of each of the five phases in milliseconds
 * @param seed makes the loads repeatable
 */
record DemoPlan(double ratePerSecond, long phaseMs, long seed) {

  /** Steady, one target lost, one drained, one configuration published, steady again. */
  static final int PHASES = 5;

  long durationMs() {
    return PHASES * phaseMs;
  }
}
