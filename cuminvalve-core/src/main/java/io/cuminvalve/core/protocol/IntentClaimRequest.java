package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.intent.OperationId;
import io.cuminvalve.core.table.TableVersion;

/**
 * Asks a replica to record that the sender is about to send an operation.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param incarnation the sender's incarnation; not null
 * @param version the table version installed at the sender; not null
 * @param operation the operation; not null
 * @param request the request that claims the operation; not null
 * @param remainingMs milliseconds until the deadline of the request
 * @param routersDigest digest of the routers registered at the sender, used to verify that both
 *     sides select the same replicas
 * @since 0.1
 */
public record IntentClaimRequest(
    CellId cell,
    RouterId router,
    Incarnation incarnation,
    TableVersion version,
    OperationId operation,
    RequestId request,
    long remainingMs,
    long routersDigest)
    implements PeerMessage {}
