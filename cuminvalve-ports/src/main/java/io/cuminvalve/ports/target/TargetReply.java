package io.cuminvalve.ports.target;

import io.cuminvalve.core.id.Incarnation;

/**
 * The result of a control call to a target.
 *
 * @param outcome how it ended; not null
 * @param incarnation the incarnation of the target that responded; UNKNOWN if none did; not null
 * @param clockMs the target's clock when it responded; 0 if it did not
 * @param highestToken after STALE_TOKEN the highest token the target has seen; else 0
 * @since 0.1
 */
public record TargetReply(
    TargetOutcome outcome, Incarnation incarnation, long clockMs, long highestToken) {

  /**
   * Returns whether the target carried out the order.
   *
   * @return true for DONE
   */
  public boolean isDone() {
    return outcome == TargetOutcome.DONE;
  }
}
