package io.cuminvalve.core.placement.internal;

import io.cuminvalve.core.placement.MoveReason;
import io.cuminvalve.core.table.ShardTable;

/**
 * Chooses standbys: in another data centre than the owner, and spread so that the loss of one owner
 * does not overload a single target.
 *
 * @since 0.1
 */
public final class StandbyPlanner {

  /** With more targets than this, a sample of this size is examined for each shard. */
  private static final int MAX_CANDIDATES = 32;

  /** Weight of the balance of all standbys relative to the spread of the standbys of one owner. */
  private static final double BALANCE_WEIGHT = 0.1;

  /** Lower bound of the limit on the ratio that a standby takes over from one owner. */
  private static final double MIN_CONCENTRATION_LIMIT = 0.25;

  /** Minimum reduction of the takeover ratio by the replacement of a concentrated standby. */
  private static final double MIN_GAIN = 0.05;

  private final Assignment assignment;
  private final TargetIndex index;
  private final int[] usable;
  private final double[] takeover;
  private final double concentrationLimit;
  private int avoidableMovesLeft;

  /**
   * Creates the step.
   *
   * @param assignment the assignment to change; not null
   * @param maxAvoidableMoves the maximum number of usable standbys to replace
   */
  public StandbyPlanner(Assignment assignment, int maxAvoidableMoves) {
    this.assignment = assignment;
    this.index = assignment.index();
    this.usable = index.usable();
    this.takeover = new double[index.size()];
    this.concentrationLimit =
        Math.max(MIN_CONCENTRATION_LIMIT, 3.0 / Math.max(1, usable.length - 1));
    this.avoidableMovesLeft = maxAvoidableMoves;
  }

  /** Applies the step to the assignment. */
  public void run() {
    ShardsByTarget shards =
        new ShardsByTarget(index.size(), assignment.shardCount(), assignment::owner);
    for (int owner = 0; owner < index.size(); owner++) {
      planFor(owner, shards.of(owner));
    }
  }

  private void planFor(int owner, int[] owned) {
    for (int shard : owned) {
      addTakeover(assignment.standby(shard), assignment.load(shard));
    }
    for (int shard : owned) {
      MoveReason reason = reasonToReplace(owner, assignment.standby(shard));
      if (reason != null) {
        replace(owner, shard, reason);
      }
    }
    for (int shard : owned) {
      if (assignment.standby(shard) != ShardTable.NO_TARGET) {
        takeover[assignment.standby(shard)] = 0;
      }
    }
  }

  private void addTakeover(int standby, double load) {
    if (standby != ShardTable.NO_TARGET) {
      takeover[standby] += load;
    }
  }

  private MoveReason reasonToReplace(int owner, int standby) {
    if (!assignment.isUsable(standby) || standby == owner) {
      return MoveReason.STANDBY_MISSING;
    }
    if (avoidableMovesLeft <= 0) {
      return null;
    }
    if (index.sameDataCentre(owner, standby) && index.hasUsableElsewhere(owner)) {
      return MoveReason.STANDBY_SAME_DATA_CENTRE;
    }
    boolean isConcentrated = takeoverRatio(standby, 0) > concentrationLimit;
    return isConcentrated ? MoveReason.STANDBY_CONCENTRATED : null;
  }

  private void replace(int owner, int shard, MoveReason reason) {
    int earlier = assignment.standby(shard);
    double load = assignment.load(shard);
    addTakeover(earlier, -load);
    clearIfUnused(earlier);
    int chosen = choose(owner, shard);
    boolean isAvoidable = reason != MoveReason.STANDBY_MISSING;
    if (isAvoidable && !isWorthwhile(earlier, chosen, load, reason)) {
      chosen = earlier;
    }
    addTakeover(chosen, load);
    if (chosen != earlier) {
      assignment.setStandby(shard, chosen, reason);
      avoidableMovesLeft -= isAvoidable ? 1 : 0;
    }
  }

  /**
   * Prevents a hot shard, which concentrates load on any standby, from changing it in every plan.
   */
  private boolean isWorthwhile(int earlier, int chosen, double load, MoveReason reason) {
    if (chosen == ShardTable.NO_TARGET) {
      return false;
    }
    return reason != MoveReason.STANDBY_CONCENTRATED
        || takeoverRatio(chosen, load) < takeoverRatio(earlier, load) - MIN_GAIN;
  }

  /** Clears rounding residue, as nothing else resets a target that is no longer a standby. */
  private void clearIfUnused(int standby) {
    if (standby != ShardTable.NO_TARGET && takeover[standby] < 1e-9) {
      takeover[standby] = 0;
    }
  }

  private int choose(int owner, int shard) {
    boolean otherDataCentre = index.hasUsableElsewhere(owner);
    int chosen = ShardTable.NO_TARGET;
    if (usable.length > MAX_CANDIDATES) {
      chosen = chooseAmong(owner, shard, otherDataCentre, MAX_CANDIDATES);
    }
    return chosen != ShardTable.NO_TARGET
        ? chosen
        : chooseAmong(owner, shard, otherDataCentre, usable.length);
  }

  private int chooseAmong(int owner, int shard, boolean otherDataCentre, int candidates) {
    int best = ShardTable.NO_TARGET;
    double bestScore = Double.MAX_VALUE;
    for (int i = 0; i < candidates; i++) {
      int candidate = candidates == usable.length ? usable[i] : sample(shard, i);
      boolean isAllowed =
          candidate != owner && !(otherDataCentre && index.sameDataCentre(candidate, owner));
      if (isAllowed) {
        double score = score(candidate, shard);
        if (score < bestScore) {
          best = candidate;
          bestScore = score;
        }
      }
    }
    return best;
  }

  /** Returns a pseudorandom usable target, determined by the shard and the number. */
  private int sample(int shard, int number) {
    long mixed = (shard * 0x9e3779b97f4a7c15L) + (number * 0xbf58476d1ce4e5b9L);
    mixed = (mixed ^ (mixed >>> 30)) * 0x94d049bb133111ebL;
    mixed ^= mixed >>> 31;
    return usable[(int) Long.remainderUnsigned(mixed, usable.length)];
  }

  /**
   * Returns the ratio of the candidate after a loss of the owner, plus its weighted standby ratio.
   */
  private double score(int candidate, int shard) {
    double afterLoss =
        Math.max(1, assignment.ownerRatio(candidate))
            + takeoverRatio(candidate, assignment.load(shard));
    return afterLoss + BALANCE_WEIGHT * assignment.standbyRatio(candidate);
  }

  private double takeoverRatio(int target, double moreLoad) {
    return (takeover[target] + moreLoad) / assignment.fairLoad(index.weight(target));
  }
}
