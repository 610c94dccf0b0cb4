package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.table.ShardTable;

/**
 * Carries a full shard table, sent by the term holder or in reply to a {@link TableRequest}.
 *
 * @param cell the cell; not null
 * @param table the table; not null
 * @param openShards the moving shards whose token is already open for dispatch; not null
 * @since 0.1
 */
public record TablePush(CellId cell, ShardTable table, int[] openShards) implements PeerMessage {}
