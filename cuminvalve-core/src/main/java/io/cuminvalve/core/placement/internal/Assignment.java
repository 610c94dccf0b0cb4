package io.cuminvalve.core.placement.internal;

import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.placement.MoveReason;
import io.cuminvalve.core.placement.MoveRole;
import io.cuminvalve.core.placement.PlacementInput;
import io.cuminvalve.core.placement.PlacementMove;
import io.cuminvalve.core.placement.PlacementPlan;
import io.cuminvalve.core.placement.TargetState;
import io.cuminvalve.core.table.ShardTable;
import java.util.ArrayList;
import java.util.List;

/**
 * The assignment during planning, with the current load of every target.
 *
 * <p>Loads are relative: a target with exactly its fair share of the total load has ratio 1.
 *
 * @since 0.1
 */
public final class Assignment {

  /**
   * Share of a shard's load that is independent of measurements, so that idle shards spread too.
   */
  private static final double UNIFORM_SHARE = 0.05;

  private final ShardTable table;
  private final TargetIndex index;
  private final int[] owners;
  private final int[] standbys;
  private final MoveReason[] ownerReasons;
  private final MoveReason[] standbyReasons;
  private final double[] shardLoads;
  private final double[] ownerLoads;
  private final double[] standbyLoads;
  private final double totalLoad;
  private final double imbalanceBefore;

  /**
   * Creates the assignment from the table of the input.
   *
   * @param input the input of the plan; not null
   */
  public Assignment(PlacementInput input) {
    table = input.table();
    index = new TargetIndex(table, input.targets());
    owners = table.ownersCopy();
    standbys = table.standbysCopy();
    ownerReasons = new MoveReason[owners.length];
    standbyReasons = new MoveReason[owners.length];
    shardLoads = relativeLoads(input.shardLoads(), owners.length);
    ownerLoads = sumByTarget(owners);
    standbyLoads = sumByTarget(standbys);
    totalLoad = owners.length;
    imbalanceBefore = imbalance();
  }

  /** Scales loads to a mean of 1 and adds the uniform share. */
  private static double[] relativeLoads(double[] measured, int shardCount) {
    double sum = 0;
    for (double load : measured) {
      sum += load;
    }
    double[] loads = new double[shardCount];
    for (int shard = 0; shard < shardCount; shard++) {
      double relative = sum > 0 ? measured[shard] * shardCount / sum : 1;
      loads[shard] = UNIFORM_SHARE + (1 - UNIFORM_SHARE) * relative;
    }
    return loads;
  }

  private double[] sumByTarget(int[] assigned) {
    double[] sums = new double[index.size()];
    for (int shard = 0; shard < assigned.length; shard++) {
      if (assigned[shard] != ShardTable.NO_TARGET) {
        sums[assigned[shard]] += shardLoads[shard];
      }
    }
    return sums;
  }

  /**
   * Returns the targets.
   *
   * @return never null
   */
  public TargetIndex index() {
    return index;
  }

  /**
   * Returns the number of shards.
   *
   * @return at least 1
   */
  public int shardCount() {
    return owners.length;
  }

  /**
   * Returns the planned owner of a shard.
   *
   * @param shard the shard
   * @return a target or NO_TARGET
   */
  public int owner(int shard) {
    return owners[shard];
  }

  /**
   * Returns the planned standby of a shard.
   *
   * @param shard the shard
   * @return a target or NO_TARGET
   */
  public int standby(int shard) {
    return standbys[shard];
  }

  /**
   * Returns the load of a shard; the mean over all shards is 1.
   *
   * @param shard the shard
   * @return above 0
   */
  public double load(int shard) {
    return shardLoads[shard];
  }

  /**
   * Returns whether a shard may get another owner by an avoidable move.
   *
   * @param shard the shard
   * @return false while an earlier move of the shard is in progress, or if this plan has moved it
   *     already
   */
  public boolean isSettled(int shard) {
    return !table.isMoving(shard) && ownerReasons[shard] == null;
  }

  /**
   * Returns the load that a target of a given weight should have.
   *
   * @param weight the weight
   * @return in units of the mean shard load
   */
  public double fairLoad(double weight) {
    return totalLoad * weight / index.totalWeight();
  }

  /**
   * Returns the ratio of the owned load of a target to its fair load.
   *
   * @param target a usable target
   * @return 1 if it owns exactly its share
   */
  public double ownerRatio(int target) {
    return ownerLoads[target] / fairLoad(index.weight(target));
  }

  /**
   * Returns the ratio of the load of the shards of which a target is the standby to its fair load.
   *
   * @param target a usable target
   * @return 1 if it is the standby of exactly its share
   */
  public double standbyRatio(int target) {
    return standbyLoads[target] / fairLoad(index.weight(target));
  }

  /**
   * Returns the load that a target owns.
   *
   * @param target the target
   * @return in units of the mean shard load
   */
  public double ownerLoad(int target) {
    return ownerLoads[target];
  }

  /**
   * Changes the owner of a shard. If the new owner was the standby, the standby is removed.
   *
   * @param shard the shard
   * @param target the new owner
   * @param reason the reason of the change; not null
   */
  public void setOwner(int shard, int target, MoveReason reason) {
    add(ownerLoads, owners[shard], -shardLoads[shard]);
    add(ownerLoads, target, shardLoads[shard]);
    owners[shard] = target;
    ownerReasons[shard] = reason;
    if (standbys[shard] == target) {
      setStandby(shard, ShardTable.NO_TARGET, MoveReason.STANDBY_MISSING);
    }
  }

  /**
   * Changes the standby of a shard.
   *
   * @param shard the shard
   * @param target the new standby or NO_TARGET
   * @param reason the reason of the change; not null
   */
  public void setStandby(int shard, int target, MoveReason reason) {
    add(standbyLoads, standbys[shard], -shardLoads[shard]);
    add(standbyLoads, target, shardLoads[shard]);
    standbys[shard] = target;
    standbyReasons[shard] = reason;
  }

  private static void add(double[] loads, int target, double load) {
    if (target != ShardTable.NO_TARGET) {
      loads[target] += load;
    }
  }

  /**
   * Counts the targets that may receive shards.
   *
   * @return at least 0
   */
  public int usableTargets() {
    return index.usable().length;
  }

  /**
   * Returns whether a target exists and may receive shards.
   *
   * @param target a target or NO_TARGET
   * @return true if it is usable
   */
  public boolean isUsable(int target) {
    return target != ShardTable.NO_TARGET && index.state(target).isUsable();
  }

  /**
   * Returns whether the owner of a shard is lost.
   *
   * @param shard the shard
   * @return true if it has an owner and that owner is lost
   */
  public boolean isOwnerLost(int shard) {
    return owners[shard] != ShardTable.NO_TARGET && index.state(owners[shard]) == TargetState.LOST;
  }

  /**
   * Returns the highest owner ratio of the usable targets.
   *
   * @return 0 if no target is usable
   */
  public double imbalance() {
    double highest = 0;
    for (int target : index.usable()) {
      highest = Math.max(highest, ownerRatio(target));
    }
    return highest;
  }

  /**
   * Creates the plan from the current state.
   *
   * @return the plan; never null
   */
  public PlacementPlan toPlan() {
    List<PlacementMove> moves = new ArrayList<>();
    for (int shard = 0; shard < owners.length; shard++) {
      addMove(moves, shard, MoveRole.OWNER, table.owner(shard), owners[shard], ownerReasons);
      addMove(
          moves, shard, MoveRole.STANDBY, table.standby(shard), standbys[shard], standbyReasons);
    }
    List<TargetId> targets = index.ids();
    return new PlacementPlan(targets, owners, standbys, moves, imbalanceBefore, imbalance());
  }

  private static void addMove(
      List<PlacementMove> moves, int shard, MoveRole role, int from, int to, MoveReason[] reasons) {
    if (from != to) {
      moves.add(new PlacementMove(shard, role, from, to, reasons[shard]));
    }
  }
}
