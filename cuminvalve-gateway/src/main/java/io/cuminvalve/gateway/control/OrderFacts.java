package io.cuminvalve.gateway.control;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.send.ConditionLookup;
import io.cuminvalve.core.send.ConditionStatus;
import io.cuminvalve.core.send.SendCondition;
import io.cuminvalve.kernel.UpperTime;
import java.util.function.BooleanSupplier;

/** Conditions of the term holder that are checked at the first byte of a lease order. */
final class OrderFacts implements ConditionLookup {

  /**
   * Maximum time from the decision to the first byte; a later order is withheld and decided again.
   */
  static final long DECISION_MAX_AGE_MS = 400;

  private final HolderState state;
  private final BooleanSupplier holdsTerm;
  private final TargetId target;
  private final UpperTime decided;

  /**
   * Creates the conditions of one order.
   *
   * @param state state of the term holder; not null
   * @param holdsTerm whether this process still holds the term; not null
   * @param target target of the order; not null
   * @param decided when the order was decided; not null
   */
  OrderFacts(HolderState state, BooleanSupplier holdsTerm, TargetId target, UpperTime decided) {
    this.state = state;
    this.holdsTerm = holdsTerm;
    this.target = target;
    this.decided = decided;
  }

  @Override
  public ConditionStatus of(SendCondition condition, UpperTime now) {
    return switch (condition) {
      case TERM_HELD ->
          ConditionStatus.heard(
              holdsTerm.getAsBoolean(), state.termConfirmed(), state.termMaxAgeMs());
      case DECISION_RECENT -> ConditionStatus.heard(true, decided, DECISION_MAX_AGE_MS);
      case TARGET_RUNS -> ConditionStatus.local(!state.hasEnded(target), now);
      default ->
          throw new IllegalArgumentException("not a condition of a lease order: " + condition);
    };
  }
}
