package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.table.TableVersion;

/**
 * Reply of a witness to a {@link LeaseRequest}.
 *
 * @param cell the cell; not null
 * @param witness the sender; not null
 * @param nonce the nonce of the request
 * @param confirmed whether the sender knows no newer version and is entitled to vote
 * @param version the newest table version known to the sender; not null
 * @since 0.1
 */
public record LeaseReply(
    CellId cell, RouterId witness, long nonce, boolean confirmed, TableVersion version)
    implements PeerMessage {}
