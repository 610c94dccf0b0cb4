package io.cuminvalve.core.placement;

/**
 * Limits avoidable owner moves per minute.
 *
 * <p>A token bucket with a capacity of one minute of moves. Not thread-safe.
 *
 * @since 0.1
 */
public final class ChurnBudget {

  private static final double MINUTE_MS = 60_000;

  private final double movesPerMinute;
  private double available;
  private long refilledAtMs;

  /**
   * Creates a full budget.
   *
   * @param movesPerMinute the number of moves allowed per minute; at least 1
   * @param nowMs the current time in milliseconds
   */
  public ChurnBudget(int movesPerMinute, long nowMs) {
    this.movesPerMinute = movesPerMinute;
    this.available = movesPerMinute;
    this.refilledAtMs = nowMs;
  }

  /**
   * Creates the budget that the settings define for a number of shards.
   *
   * @param settings the settings; not null
   * @param shardCount the number of shards
   * @param nowMs the current time in milliseconds
   * @return a full budget of at least one move per minute
   */
  public static ChurnBudget of(PlacementSettings settings, int shardCount, long nowMs) {
    long moves = (long) shardCount * settings.churnPerMillePerMinute() / 1000;
    return new ChurnBudget((int) Math.max(1, moves), nowMs);
  }

  /**
   * Returns how many moves may be made now.
   *
   * @param nowMs the current time in milliseconds
   * @return at least 0
   */
  public int available(long nowMs) {
    double refill = (nowMs - refilledAtMs) * movesPerMinute / MINUTE_MS;
    available = Math.min(movesPerMinute, available + refill);
    refilledAtMs = nowMs;
    return (int) Math.floor(Math.max(0, available));
  }

  /**
   * Subtracts moves from the budget.
   *
   * @param moves how many were made; at least 0
   */
  public void spend(int moves) {
    available -= moves;
  }
}
