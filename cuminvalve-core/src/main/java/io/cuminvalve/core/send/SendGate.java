package io.cuminvalve.core.send;

import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import java.util.Optional;

/**
 * Checks immediately before the first byte whether a request or an order may be sent.
 *
 * <p>Queues, connection setup and thread scheduling can delay the first byte after the decision to
 * send. All preconditions are therefore checked here again, and only this check is final. A
 * condition that is not known to hold blocks the message. A message blocked here has not been
 * executed. Thread-safe.
 *
 * @since 0.2
 */
public final class SendGate {

  private final MillisClock clock;

  /**
   * Creates a gate.
   *
   * @param clock the clock against which the age of a status is measured; not null
   */
  public SendGate(MillisClock clock) {
    this.clock = clock;
  }

  /**
   * Checks the conditions that apply to a kind of message.
   *
   * @param kind the kind of message; not null
   * @param lookup provides the status of the conditions; called only until one forbids the send;
   *     not null
   * @return the first obstacle; empty if the message may be sent now
   */
  public Optional<SendObstacle> check(SendKind kind, ConditionLookup lookup) {
    UpperTime now = clock.upper();
    for (SendCondition condition : SendCondition.values()) {
      if (!condition.concerns(kind)) {
        continue;
      }
      ConditionStatus status = lookup.of(condition, now);
      if (status.forbids(now)) {
        return Optional.of(new SendObstacle(condition, status.holds()));
      }
    }
    return Optional.empty();
  }
}
