package io.cuminvalve.ports.target;

import io.cuminvalve.core.id.Incarnation;

/**
 * The end of a control call to a target.
 *
 * @param outcome how it ended; not null
 * @param incarnation the run of the target that answered; UNKNOWN if none did; not null
 * @param clockMs the target's own clock when it answered; 0 if none did
 * @param highestToken after STALE_TOKEN the highest token the target has seen; else 0
 * @since 0.1
 */
public record TargetReply(
    TargetOutcome outcome, Incarnation incarnation, long clockMs, long highestToken) {

  /**
   * Tells whether the target obeyed.
   *
   * @return true for DONE
   */
  public boolean isDone() {
    return outcome == TargetOutcome.DONE;
  }
}
