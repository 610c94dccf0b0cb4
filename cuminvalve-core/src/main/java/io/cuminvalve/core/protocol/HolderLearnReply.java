package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.table.TableVersion;

/**
 * Reply to a {@link HolderLearnRequest}, sent after the term holder has reread its term from the
 * store.
 *
 * @param cell the cell; not null
 * @param nonce the nonce of the request
 * @param term the term read from the store
 * @param version the newest table version issued by the holder; not null
 * @since 0.1
 */
public record HolderLearnReply(CellId cell, long nonce, long term, TableVersion version)
    implements PeerMessage {}
