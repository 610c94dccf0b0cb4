package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.request.SlotUse;

/**
 * Releases a slot: its request is no longer in flight.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param incarnation the sender's incarnation; not null
 * @param permit the permit number, unique per incarnation of the requesting router
 * @param target the target; not null
 * @param use how the slot was used; not null
 * @param serviceMs time from the first byte to the end of the request; milliseconds
 * @since 0.1
 */
public record PermitReleased(
    CellId cell,
    RouterId router,
    Incarnation incarnation,
    long permit,
    TargetId target,
    SlotUse use,
    long serviceMs)
    implements PeerMessage {}
