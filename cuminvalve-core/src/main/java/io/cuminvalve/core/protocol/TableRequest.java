package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.table.TableVersion;

/**
 * Requests the receiver's shard table.
 *
 * @param cell the cell; not null
 * @param known the newest table version known to the sender; not null
 * @since 0.1
 */
public record TableRequest(CellId cell, TableVersion known) implements PeerMessage {}
