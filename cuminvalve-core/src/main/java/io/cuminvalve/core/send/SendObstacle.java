package io.cuminvalve.core.send;

/**
 * Why something was not sent.
 *
 * @param condition what did not hold, or was not known to; not null
 * @param outdated whether it held when it was last known, too long ago
 * @since 0.2
 */
public record SendObstacle(SendCondition condition, boolean outdated) {

  /**
   * Returns the reason for logs and metrics.
   *
   * @return {@code unmet_} or, if it was only out of date, {@code unknown_}, and the name of the
   *     condition; never null
   */
  public String label() {
    return (outdated ? "unknown_" : "unmet_") + condition.label();
  }
}
