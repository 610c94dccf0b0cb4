package io.cuminvalve.core.placement;

/**
 * Limits the avoidable moves of one plan.
 *
 * <p>Takeovers from a lost target and the assignment of a first owner or standby are never limited.
 *
 * @param rebalanceMoves owner moves that only balance load; at least 0
 * @param drainMoves owner moves off draining targets; at least 0
 * @param standbyMoves standby moves that only balance or spread load; at least 0
 * @since 0.1
 */
public record MoveBudget(int rebalanceMoves, int drainMoves, int standbyMoves) {

  /** No limit. */
  public static final MoveBudget UNLIMITED =
      new MoveBudget(Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);
}
