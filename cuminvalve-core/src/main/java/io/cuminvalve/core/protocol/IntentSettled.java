package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.intent.OperationId;
import io.cuminvalve.core.verdict.Verdict;

/**
 * Reports the result of a claimed operation to a replica.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param operation the operation; not null
 * @param request the request that claimed the operation; not null
 * @param verdict the result; NOT_RUN allows another request to claim the operation; not null
 * @since 0.1
 */
public record IntentSettled(
    CellId cell, RouterId router, OperationId operation, RequestId request, Verdict verdict)
    implements PeerMessage {}
