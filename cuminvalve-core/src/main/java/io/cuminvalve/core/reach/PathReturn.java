package io.cuminvalve.core.reach;

import io.cuminvalve.core.id.TargetId;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides from probes whether a path that was lost is back.
 *
 * <p>A path that comes and goes is trusted later each time, so that requests do not wait again and
 * again for connections that fail.
 */
final class PathReturn {

  /** A loss that probes disprove within this time was none. */
  private static final long UNCONFIRMED_MS = 400;

  private static final long MIN_HOLD_MS = 250;
  private static final long MAX_HOLD_MS = 4_000;

  /** A loss this soon after a return doubles the time for which the path has to hold. */
  private static final long FLAPPING_MS = 5_000;

  /** Different targets that have to be reached. */
  private static final int TARGETS_REACHED = 2;

  /** Targets may have ended meanwhile, so a path is back in spite of some failures in a row. */
  private static final int MAX_FAILURE_WEIGHT = 4;

  /** Weight of a connection without answer; one that is refused has 1. */
  private static final int TIMEOUT_WEIGHT = 2;

  private final Set<TargetId> reached = new HashSet<>();
  private long lostMs;
  private long firstReachedMs;
  private long returnedMs = Long.MIN_VALUE / 2;
  private long holdMs = MIN_HOLD_MS;
  private int failureWeight;

  void onLost(long nowMs) {
    boolean flaps = nowMs - returnedMs < FLAPPING_MS;
    holdMs = flaps ? Math.min(MAX_HOLD_MS, 2 * holdMs) : MIN_HOLD_MS;
    lostMs = nowMs;
    restart();
  }

  void onReached(TargetId target, long nowMs) {
    if (reached.isEmpty()) {
      firstReachedMs = nowMs;
    }
    reached.add(target);
    failureWeight = 0;
  }

  void onFailed(ConnectFailure failure) {
    failureWeight += failure == ConnectFailure.TIMEOUT ? TIMEOUT_WEIGHT : 1;
    if (failureWeight >= MAX_FAILURE_WEIGHT) {
      restart();
    }
  }

  boolean hasBegun() {
    return !reached.isEmpty();
  }

  /** Returns whether the path is back, if there are as many targets as given. */
  boolean isComplete(int targets, long nowMs) {
    boolean enough = hasBegun() && reached.size() >= Math.min(TARGETS_REACHED, targets);
    boolean unconfirmed = holdMs == MIN_HOLD_MS && nowMs - lostMs < UNCONFIRMED_MS;
    return enough && (unconfirmed || nowMs - firstReachedMs >= holdMs);
  }

  void onReturned(long nowMs) {
    returnedMs = nowMs;
  }

  private void restart() {
    reached.clear();
    failureWeight = 0;
  }
}
