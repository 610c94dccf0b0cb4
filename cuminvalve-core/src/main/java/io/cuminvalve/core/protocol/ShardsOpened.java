package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.table.TableVersion;

/**
 * Sent by the term holder once the new owners hold their grants: requests for these shards may be
 * dispatched.
 *
 * @param cell the cell; not null
 * @param version the table version that assigned the owners of the shards; not null
 * @param shards the shards; not null
 * @param tokens the fencing token of each shard; not null, same length
 * @since 0.1
 */
public record ShardsOpened(CellId cell, TableVersion version, int[] shards, long[] tokens)
    implements PeerMessage {}
