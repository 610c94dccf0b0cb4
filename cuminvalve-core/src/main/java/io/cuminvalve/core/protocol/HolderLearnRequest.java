package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;

/**
 * Requests the newest table version from the term holder, which must confirm its term with the
 * store after this request arrives.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param nonce correlates the reply with the request
 * @since 0.1
 */
public record HolderLearnRequest(CellId cell, RouterId router, long nonce) implements PeerMessage {}
