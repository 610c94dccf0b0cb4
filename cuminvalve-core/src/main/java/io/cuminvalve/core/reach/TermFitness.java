package io.cuminvalve.core.reach;

import java.util.Collection;
import java.util.OptionalLong;

/**
 * Decides whether a gateway should hold the term, given the targets that it reaches.
 *
 * <p>The holder renews the leases of all keys, so a holder that reaches few targets stops most keys
 * of the fleet. It gives the term up only if another gateway reaches clearly more. Who acquires the
 * term is left to the store: a gateway that reaches less waits longer, but none waits for ever, so
 * the term never stays vacant. Not thread-safe.
 *
 * @since 0.2
 */
public final class TermFitness {

  /** A holder that reaches fewer of the targets than this may have to give the term up. */
  private static final double MIN_SHARE = 0.5;

  /**
   * So much more another gateway has to reach: a term that changes hands stops moves for a while.
   */
  private static final double ADVANTAGE = 0.25;

  /** Others may lose their path at the same time, and tell so a little later. */
  private static final long CONFIRMATION_MS = 500;

  /** Delay of a candidate that reaches no target. Longer than others take to acquire the term. */
  private static final long MAX_DELAY_MS = 2_000;

  private OptionalLong unfitSinceMs = OptionalLong.empty();

  /**
   * Returns whether this gateway, the holder, should give the term up.
   *
   * @param own the targets that it reaches; not null
   * @param others the targets that others reach, as told lately; not null
   * @param nowMs the current time; milliseconds
   * @return false until that has been so for a moment
   */
  public boolean shouldYield(ReachShare own, Collection<ReachShare> others, long nowMs) {
    double needed = own.value() + ADVANTAGE;
    boolean unfit =
        own.value() < MIN_SHARE
            && others.stream().anyMatch(other -> other.reachesMost() && other.value() >= needed);
    if (!unfit) {
      unfitSinceMs = OptionalLong.empty();
      return false;
    }
    if (unfitSinceMs.isEmpty()) {
      unfitSinceMs = OptionalLong.of(nowMs);
    }
    return nowMs - unfitSinceMs.getAsLong() >= CONFIRMATION_MS;
  }

  /**
   * Returns for how long a candidate waits, in addition to its usual delay.
   *
   * @param own the targets that it reaches; not null
   * @return milliseconds; 0 if it reaches all
   */
  public static long candidateDelayMs(ReachShare own) {
    return Math.round(MAX_DELAY_MS * (1 - own.value()));
  }
}
