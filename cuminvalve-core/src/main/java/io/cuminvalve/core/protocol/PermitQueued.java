package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.table.TableVersion;

/**
 * Confirms that the gate of a target has queued the request.
 *
 * @param cell the cell; not null
 * @param version the table version installed at the sender; not null
 * @param permit the permit number, unique per incarnation of the requesting router
 * @param target the target; not null
 * @param receiver the incarnation of the requesting router; not null
 * @since 0.1
 */
public record PermitQueued(
    CellId cell, TableVersion version, long permit, TargetId target, Incarnation receiver)
    implements PeerMessage {}
