package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.id.TargetId;
import io.cuminvalve.core.id.TenantId;
import io.cuminvalve.core.rule.RequestClass;
import io.cuminvalve.core.table.TableVersion;

/**
 * Requests a slot from the gate of a target.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param incarnation the sender's incarnation; not null
 * @param version the table version installed at the sender; not null
 * @param permit the permit number, unique per incarnation of the requesting router
 * @param target the target; not null
 * @param tenant the tenant on whose behalf the request is sent; not null
 * @param requestClass the urgency of the request; not null
 * @param remainingMs milliseconds until the deadline of the request
 * @since 0.1
 */
public record PermitRequest(
    CellId cell,
    RouterId router,
    Incarnation incarnation,
    TableVersion version,
    long permit,
    TargetId target,
    TenantId tenant,
    RequestClass requestClass,
    long remainingMs)
    implements PeerMessage {}
