package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;

/**
 * Sent by a router to the term holder: its measured load, used for placement.
 *
 * <p>Loads are exponentially decayed averages per second, in the unit of the router's load meter.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param totalPerSecond the total load of all shards
 * @param shards the shards with the highest load; not null
 * @param shardPerSecond the load of each of these shards; not null, same length
 * @param keyHashes hashes of the hottest keys; not null
 * @param keyPerSecond a lower bound of the load of each of these keys; not null, same length
 * @since 0.1
 */
public record LoadReport(
    CellId cell,
    RouterId router,
    double totalPerSecond,
    int[] shards,
    double[] shardPerSecond,
    long[] keyHashes,
    double[] keyPerSecond)
    implements PeerMessage {}
