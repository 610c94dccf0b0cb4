package io.cuminvalve.wire.internal;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.table.RegisteredRouter;
import io.cuminvalve.core.table.ShardTable;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.kernel.CodedException;
import io.cuminvalve.kernel.ErrorCode;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.msgpack.core.MessagePacker;

/**
 * Encodes shard tables. Previous owners are written for moving shards only, as these are few.
 *
 * @since 0.1
 */
final class ShardTableCodec implements ValueCodec {

  private final ValueCodec tableCodec;

  ShardTableCodec(ValueCodecs codecs) {
    this.tableCodec = codecs.forType(EncodedShardTable.class);
  }

  @Override
  public void write(MessagePacker packer, Object value) throws IOException {
    ShardTable table = (ShardTable) value;
    int[] moving = IntStream.range(0, table.shardCount()).filter(table::isMoving).toArray();
    int[] movingFrom = Arrays.stream(moving).map(table::previousOwner).toArray();
    tableCodec.write(
        packer,
        new EncodedShardTable(
            table.cell(),
            table.version(),
            table.configRevision(),
            table.routers(),
            table.previousWitnesses(),
            table.targets(),
            table.ownersCopy(),
            table.standbysCopy(),
            moving,
            movingFrom,
            table.tokensCopy()));
  }

  @Override
  public Object read(ValueReader reader) throws IOException {
    EncodedShardTable read = (EncodedShardTable) tableCodec.read(reader);
    checkIndexes(read.owners(), read.targets().size());
    checkIndexes(read.standbys(), read.targets().size());
    checkIndexes(read.movingFrom(), read.targets().size());
    return new ShardTable(
        read.cell(),
        read.version(),
        read.configRevision(),
        read.routers(),
        read.previousWitnesses(),
        read.targets(),
        read.owners(),
        read.standbys(),
        previousOwners(read),
        read.tokens());
  }

  private static int[] previousOwners(EncodedShardTable read) {
    int[] previous = new int[read.owners().length];
    Arrays.fill(previous, ShardTable.NO_TARGET);
    if (read.moving().length != read.movingFrom().length) {
      throw new CodedException(
          ErrorCode.PROTOCOL, "moving shards and previous owners differ in number");
    }
    for (int i = 0; i < read.moving().length; i++) {
      int shard = read.moving()[i];
      if (shard < 0 || shard >= previous.length) {
        throw new CodedException(ErrorCode.PROTOCOL, "unknown shard: " + shard);
      }
      previous[shard] = read.movingFrom()[i];
    }
    return previous;
  }

  private static void checkIndexes(int[] indexes, int targets) {
    for (int index : indexes) {
      if (index < ShardTable.NO_TARGET || index >= targets) {
        throw new CodedException(ErrorCode.PROTOCOL, "unknown target index: " + index);
      }
    }
  }

  /** The encoded components of a shard table. */
  public record EncodedShardTable(
      CellId cell,
      TableVersion version,
      long configRevision,
      List<RegisteredRouter> routers,
      List<RouterId> previousWitnesses,
      List<TargetId> targets,
      int[] owners,
      int[] standbys,
      int[] moving,
      int[] movingFrom,
      long[] tokens) {}
}
