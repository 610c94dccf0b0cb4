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
   * @return the name of the condition, and whether it was only out of date; never null
   */
  public String label() {
    return outdated ? condition.label() + "_unknown" : condition.label();
  }
}
