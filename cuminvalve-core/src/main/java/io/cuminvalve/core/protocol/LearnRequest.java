package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;

/**
 * Requests the newest known table version from a witness after a restart of the sender.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param nonce correlates the reply with the request
 * @since 0.1
 */
public record LearnRequest(CellId cell, RouterId router, long nonce) implements PeerMessage {}
