package io.cuminvalve.core.send;

import io.cuminvalve.kernel.MillisClock;
import io.cuminvalve.kernel.UpperTime;
import java.util.Optional;

/**
 * Decides right before the first byte whether a request or an order may be sent.
 *
 * <p>Between the decision to send and the first byte lie a queue, a connection and threads that may
 * be late. So whatever forbids a send is looked at here once more, and nowhere else for good. A
 * condition that is not known to hold forbids it. What is stopped here has not run. Safe for use by
 * several threads.
 *
 * @since 0.2
 */
public final class SendGate {

  private final MillisClock clock;

  /**
   * Creates a gate.
   *
   * @param clock the time; not null
   */
  public SendGate(MillisClock clock) {
    this.clock = clock;
  }

  /**
   * Looks for a reason not to send.
   *
   * @param kind what is about to be sent; not null
   * @param facts what is known; asked only until one of them forbids it; not null
   * @return the first obstacle; empty if it may be sent now
   */
  public Optional<SendObstacle> check(SendKind kind, ConditionLookup facts) {
    UpperTime now = clock.upper();
    for (SendCondition condition : SendCondition.values()) {
      if (!condition.concerns(kind)) {
        continue;
      }
      ConditionStatus fact = facts.of(condition, now);
      if (fact.forbids(now)) {
        return Optional.of(new SendObstacle(condition, fact.holds()));
      }
    }
    return Optional.empty();
  }
}
