package io.cuminvalve.demo;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.table.ShardTable;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Counts changes of owners in successive tables of each cell. Not thread-safe. */
final class ChurnMeter {

  private final Function<CellId, Optional<ShardTable>> tables;
  private final Map<CellId, ShardTable> last = new HashMap<>();
  private final Map<CellId, Long> changes = new HashMap<>();

  ChurnMeter(Function<CellId, Optional<ShardTable>> tables) {
    this.tables = tables;
  }

  void sample(CellId cell) {
    Optional<ShardTable> table = tables.apply(cell);
    if (table.isEmpty()) {
      return;
    }
    ShardTable before = last.put(cell, table.get());
    if (before != null) {
      changes.merge(cell, countChanges(before, table.get()), Long::sum);
    }
  }

  long changesOf(CellId cell) {
    return changes.getOrDefault(cell, 0L);
  }

  Optional<ShardTable> lastOf(CellId cell) {
    return Optional.ofNullable(last.get(cell));
  }

  private static long countChanges(ShardTable before, ShardTable after) {
    long count = 0;
    for (int shard = 0; shard < after.shardCount(); shard++) {
      Optional<TargetId> old = owner(before, shard);
      if (old.isPresent() && !old.equals(owner(after, shard))) {
        count++;
      }
    }
    return count;
  }

  static Optional<TargetId> owner(ShardTable table, int shard) {
    int index = table.owner(shard);
    return index == ShardTable.NO_TARGET
        ? Optional.empty()
        : Optional.of(table.targets().get(index));
  }
}
