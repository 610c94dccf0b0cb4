package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RouterId;

/**
 * Reply of the term holder to a {@link RouterLeave}: the newest stored table no longer contains the
 * router.
 *
 * @param cell the cell; not null
 * @param router the router that may exit; not null
 * @since 0.1
 */
public record RouterLeft(CellId cell, RouterId router) implements PeerMessage {}
