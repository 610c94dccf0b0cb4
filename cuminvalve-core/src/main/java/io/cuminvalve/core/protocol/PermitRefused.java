package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.table.TableVersion;
import io.cuminvalve.core.verdict.RefusalReason;

/**
 * Refuses a slot at a target. Sent by the gate of the target, which no longer queues the request.
 *
 * @param cell the cell; not null
 * @param version the table version installed at the sender; not null
 * @param permit the permit number, unique per incarnation of the requesting router
 * @param target the target; not null
 * @param reason the reason for the refusal; not null
 * @param retryAfterMs delay before the next attempt; milliseconds
 * @param receiver the incarnation of the requesting router; not null
 * @since 0.1
 */
public record PermitRefused(
    CellId cell,
    TableVersion version,
    long permit,
    TargetId target,
    RefusalReason reason,
    long retryAfterMs,
    Incarnation receiver)
    implements PeerMessage {}
