package io.cuminvalve.core.table;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.util.Arrays;
import java.util.List;

/**
 * An immutable assignment of every shard of one cell.
 *
 * <p>Shards are numbered from 0. Targets are referred to by their index in {@link #targets()}, so
 * that a lookup on the request path reads plain arrays. A shard whose {@link #previousOwner(int)}
 * is not {@link #NO_TARGET} is moving: its new owner does not serve it until the term holder has
 * proved that the previous owner stopped and has announced that the new token is open.
 *
 * @since 0.1
 */
public final class ShardTable {

  /** The index that means that there is no target. */
  public static final int NO_TARGET = -1;

  private final CellId cell;
  private final TableVersion version;
  private final long configRevision;
  private final List<RegisteredRouter> routers;
  private final List<RouterId> previousWitnesses;
  private final List<TargetId> targets;
  private final int[] owners;
  private final int[] standbys;
  private final int[] previousOwners;
  private final long[] tokens;

  /**
   * Creates a table. Lists and arrays are copied.
   *
   * @param cell the cell; not null
   * @param version its version; not null
   * @param configRevision the revision of the configuration it was planned with
   * @param routers the registered routers; not null
   * @param previousWitnesses the witnesses of an earlier version that is not yet proven to be
   *     closed; empty if the witnesses did not change; not null
   * @param targets the targets that indexes refer to; not null
   * @param owners the owner of each shard; not null
   * @param standbys the standby of each shard; not null, same length
   * @param previousOwners the previous owner of each moving shard, else NO_TARGET; not null, same
   *     length
   * @param tokens the fencing token of each shard; not null, same length
   */
  public ShardTable(
      CellId cell,
      TableVersion version,
      long configRevision,
      List<RegisteredRouter> routers,
      List<RouterId> previousWitnesses,
      List<TargetId> targets,
      int[] owners,
      int[] standbys,
      int[] previousOwners,
      long[] tokens) {
    this.cell = cell;
    this.version = version;
    this.configRevision = configRevision;
    this.routers = List.copyOf(routers);
    this.previousWitnesses = List.copyOf(previousWitnesses);
    this.targets = List.copyOf(targets);
    this.owners = owners.clone();
    this.standbys = standbys.clone();
    this.previousOwners = previousOwners.clone();
    this.tokens = tokens.clone();
    if (standbys.length != owners.length
        || previousOwners.length != owners.length
        || tokens.length != owners.length) {
      throw new CodedException(
          ErrorCode.INVALID_INPUT, "the arrays of a shard table differ in length");
    }
  }

  /**
   * Returns the table of a cell before the first write: no routers, and no shard has an owner.
   *
   * @param cell the cell; not null
   * @param shardCount the number of shards of the cell
   * @param configRevision the revision of the configuration it is planned with
   * @return never null, version {@link TableVersion#NONE}
   */
  public static ShardTable unassigned(CellId cell, int shardCount, long configRevision) {
    int[] noTargets = new int[shardCount];
    Arrays.fill(noTargets, NO_TARGET);
    return new ShardTable(
        cell,
        TableVersion.NONE,
        configRevision,
        List.of(),
        List.of(),
        List.of(),
        noTargets,
        noTargets,
        noTargets,
        new long[shardCount]);
  }

  /**
   * Returns the cell.
   *
   * @return never null
   */
  public CellId cell() {
    return cell;
  }

  /**
   * Returns the version.
   *
   * @return never null
   */
  public TableVersion version() {
    return version;
  }

  /**
   * Returns the revision of the configuration that the table was planned with.
   *
   * @return the revision
   */
  public long configRevision() {
    return configRevision;
  }

  /**
   * Returns the registered routers.
   *
   * @return immutable, never null
   */
  public List<RegisteredRouter> routers() {
    return routers;
  }

  /**
   * Returns the witnesses of an earlier version that is not yet proven to be closed.
   *
   * @return immutable, empty if the witnesses did not change
   */
  public List<RouterId> previousWitnesses() {
    return previousWitnesses;
  }

  /**
   * Returns the identifiers of the routers that confirm leases under this version.
   *
   * @return in the order of registration
   */
  public List<RouterId> witnesses() {
    return routers.stream().filter(RegisteredRouter::witness).map(RegisteredRouter::id).toList();
  }

  /**
   * Returns the targets that indexes refer to.
   *
   * @return immutable, never null
   */
  public List<TargetId> targets() {
    return targets;
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
   * Returns the owner of a shard.
   *
   * @param shard from 0 to {@link #shardCount()} - 1
   * @return an index into {@link #targets()} or {@link #NO_TARGET}
   */
  public int owner(int shard) {
    return owners[shard];
  }

  /**
   * Returns the standby of a shard.
   *
   * @param shard from 0 to {@link #shardCount()} - 1
   * @return an index into {@link #targets()} or {@link #NO_TARGET}
   */
  public int standby(int shard) {
    return standbys[shard];
  }

  /**
   * Returns the previous owner of a moving shard.
   *
   * @param shard from 0 to {@link #shardCount()} - 1
   * @return an index into {@link #targets()} or {@link #NO_TARGET} if the shard is not moving
   */
  public int previousOwner(int shard) {
    return previousOwners[shard];
  }

  /**
   * Returns the fencing token of a shard's owner.
   *
   * @param shard from 0 to {@link #shardCount()} - 1
   * @return the value of the token
   */
  public long token(int shard) {
    return tokens[shard];
  }

  /**
   * Returns whether a shard is moving to its owner.
   *
   * @param shard from 0 to {@link #shardCount()} - 1
   * @return true until the term holder records the end of the move
   */
  public boolean isMoving(int shard) {
    return previousOwners[shard] != NO_TARGET;
  }

  /**
   * Returns a copy of the owners.
   *
   * @return one index per shard
   */
  public int[] ownersCopy() {
    return owners.clone();
  }

  /**
   * Returns a copy of the standbys.
   *
   * @return one index per shard
   */
  public int[] standbysCopy() {
    return standbys.clone();
  }

  /**
   * Returns a copy of the previous owners.
   *
   * @return one index per shard
   */
  public int[] previousOwnersCopy() {
    return previousOwners.clone();
  }

  /**
   * Returns a copy of the tokens.
   *
   * @return one token per shard
   */
  public long[] tokensCopy() {
    return tokens.clone();
  }
}
