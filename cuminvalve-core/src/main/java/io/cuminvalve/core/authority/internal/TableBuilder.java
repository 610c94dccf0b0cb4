package io.cuminvalve.core.authority.internal;

import io.cuminvalve.core.id.FencingToken;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.placement.PlacementPlan;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import java.util.Arrays;
import java.util.List;

/**
 * Builds the next table from the present one.
 *
 * @since 0.1
 */
public final class TableBuilder {

  private final ShardTable present;
  private final int[] owners;
  private final int[] standbys;
  private final int[] previousOwners;
  private final long[] tokens;
  private List<TargetId> targets;
  private RosterChange roster;

  /**
   * Creates a builder that would repeat the present table.
   *
   * @param present the present table; not null
   */
  public TableBuilder(ShardTable present) {
    this.present = present;
    this.owners = present.ownersCopy();
    this.standbys = present.standbysCopy();
    this.previousOwners = present.previousOwnersCopy();
    this.tokens = present.tokensCopy();
    this.targets = present.targets();
    this.roster = new RosterChange(present.routers(), present.previousWitnesses());
  }

  /**
   * Records moves as finished whose shards are open.
   *
   * @param moves knows which are; not null
   * @return this builder
   */
  public TableBuilder settle(MoveExecutor moves) {
    for (int shard = 0; shard < owners.length; shard++) {
      if (present.isMoving(shard) && moves.isOpen(shard)) {
        previousOwners[shard] = ShardTable.NO_TARGET;
      }
    }
    return this;
  }

  /**
   * Sets the registered routers.
   *
   * @param next the routers; not null
   * @return this builder
   */
  public TableBuilder roster(RosterChange next) {
    roster = next;
    return this;
  }

  /**
   * Applies a plan. A shard whose previous owner is not proved stopped stays as it is.
   *
   * @param plan the plan; not null
   * @param executor knows which shards may be moved; not null
   * @return this builder
   */
  public TableBuilder apply(PlacementPlan plan, MoveExecutor executor) {
    targets = plan.targets();
    for (int shard = 0; shard < owners.length; shard++) {
      int planned = plan.owners()[shard];
      boolean moves = planned != owners[shard];
      boolean allowed = planned != ShardTable.NO_TARGET && executor.mayReassign(shard);
      if (moves && !allowed) {
        // The planned standby goes with the planned owner; taken alone it would change at each
        // plan.
        continue;
      }
      if (moves) {
        move(shard, planned, new FencingToken(tokens[shard]).next());
      }
      standbys[shard] = plan.standbys()[shard];
    }
    return this;
  }

  /**
   * Gives a shard to its recorded standby, under the token reserved for it.
   *
   * @param shard the shard, which must have a standby and a previous owner that is proved stopped
   */
  public void activateStandby(int shard) {
    move(shard, standbys[shard], new FencingToken(tokens[shard]).standby());
    standbys[shard] = ShardTable.NO_TARGET;
  }

  /**
   * Makes every shard prove again that nobody else serves it: settled shards get a new token, and
   * their standby, which may have taken over unseen, counts as previous owner.
   */
  public void distrustStandbys() {
    for (int shard = 0; shard < owners.length; shard++) {
      if (owners[shard] == ShardTable.NO_TARGET) {
        continue;
      }
      tokens[shard] = new FencingToken(tokens[shard]).next().value();
      if (previousOwners[shard] == ShardTable.NO_TARGET) {
        boolean hasStandby = standbys[shard] != ShardTable.NO_TARGET;
        previousOwners[shard] = hasStandby ? standbys[shard] : owners[shard];
      }
    }
  }

  /**
   * Tells whether the built table would move any shard.
   *
   * @return false if every shard keeps its owner
   */
  public boolean isOwnerChanged() {
    return !Arrays.equals(owners, present.ownersCopy());
  }

  /**
   * Tells whether the built table would differ from the present one.
   *
   * @return false if only version and configuration revision could differ
   */
  public boolean isChanged() {
    return !Arrays.equals(owners, present.ownersCopy())
        || !Arrays.equals(standbys, present.standbysCopy())
        || !Arrays.equals(previousOwners, present.previousOwnersCopy())
        || !Arrays.equals(tokens, present.tokensCopy())
        || !roster.routers().equals(present.routers())
        || !roster.previousWitnesses().equals(present.previousWitnesses());
  }

  /**
   * Builds the table.
   *
   * @param version its version; not null
   * @param configRevision the configuration it was planned under
   * @return never null
   */
  public ShardTable build(TableVersion version, long configRevision) {
    return new ShardTable(
        present.cell(),
        version,
        configRevision,
        roster.routers(),
        roster.previousWitnesses(),
        targets,
        owners,
        standbys,
        previousOwners,
        tokens);
  }

  private void move(int shard, int to, FencingToken token) {
    // A first owner has no predecessor; it counts as its own, so that it gets a grant like others.
    previousOwners[shard] = owners[shard] == ShardTable.NO_TARGET ? to : owners[shard];
    owners[shard] = to;
    tokens[shard] = token.value();
  }
}
