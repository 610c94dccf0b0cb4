package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.table.TableVersion;

/**
 * Reply to a {@link LearnRequest}.
 *
 * @param cell the cell; not null
 * @param witness the sender; not null
 * @param nonce the nonce of the request
 * @param learned whether the sender has caught up since its own start
 * @param term the highest term seen by the sender
 * @param version the newest table version known to the sender; not null
 * @since 0.1
 */
public record LearnReply(
    CellId cell, RouterId witness, long nonce, boolean learned, long term, TableVersion version)
    implements PeerMessage {}
