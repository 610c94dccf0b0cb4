package io.cuminvalve.core.id;

/**
 * Distinguishes one run of a process from later runs after a restart.
 *
 * @param value random number generated at process start; 0 means unknown
 * @since 0.1
 */
public record Incarnation(long value) {

  /** The incarnation of a process that has not reported one. */
  public static final Incarnation UNKNOWN = new Incarnation(0);

  /**
   * Returns whether the process has reported its incarnation.
   *
   * @return false for {@link #UNKNOWN}
   */
  public boolean isKnown() {
    return value != 0;
  }
}
