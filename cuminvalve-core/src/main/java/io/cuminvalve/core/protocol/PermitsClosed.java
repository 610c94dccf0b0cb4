package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;

/**
 * Sent by a router that is about to leave: it holds no permits and issues itself no new ones, so
 * that no slots need to be reserved for it.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param incarnation the sender's incarnation; not null
 * @since 0.1
 */
public record PermitsClosed(CellId cell, RouterId router, Incarnation incarnation)
    implements PeerMessage {}
