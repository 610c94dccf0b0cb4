package io.cuminvalve.core.send;

/**
 * The reason why a message was not sent.
 *
 * @param condition the condition that did not hold or was not known to hold; not null
 * @param outdated whether the condition held when it was last known, but that was too long ago
 * @since 0.2
 */
public record SendObstacle(SendCondition condition, boolean outdated) {

  /**
   * Returns the reason used in logs and metrics.
   *
   * @return {@code unmet_} or, if the status was only outdated, {@code unknown_}, followed by the
   *     name of the condition; never null
   */
  public String label() {
    return (outdated ? "unknown_" : "unmet_") + condition.label();
  }
}
