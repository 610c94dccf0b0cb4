package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;

/**
 * Cancels a request for a slot. If the slot has been granted in the meantime, the sender releases
 * it.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param incarnation the sender's incarnation; not null
 * @param permit the permit number, unique per incarnation of the requesting router
 * @param target the target; not null
 * @since 0.1
 */
public record PermitWithdrawn(
    CellId cell, RouterId router, Incarnation incarnation, long permit, TargetId target)
    implements PeerMessage {}
