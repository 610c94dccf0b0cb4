package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.table.TableVersion;

/**
 * Asks a witness to confirm that it knows no table version newer than the sender's.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param nonce correlates the reply with the send time of the request
 * @param version the table version to be leased; not null
 * @since 0.1
 */
public record LeaseRequest(CellId cell, RouterId router, long nonce, TableVersion version)
    implements PeerMessage {}
