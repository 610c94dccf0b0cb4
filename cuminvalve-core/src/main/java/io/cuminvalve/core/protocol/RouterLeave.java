package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;

/**
 * Sent by a router that dispatches no more requests, to be removed from the registered routers.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param incarnation the sender's incarnation; not null
 * @since 0.1
 */
public record RouterLeave(CellId cell, RouterId router, Incarnation incarnation)
    implements PeerMessage {}
