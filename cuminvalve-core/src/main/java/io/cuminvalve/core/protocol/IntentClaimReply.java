package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.RequestId;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.intent.IntentAnswer;
import io.cuminvalve.core.intent.OperationId;

/**
 * Reply of a replica to an {@link IntentClaimRequest}.
 *
 * @param cell the cell; not null
 * @param replica the sender; not null
 * @param operation the operation; not null
 * @param request the request that claims the operation; not null
 * @param answer the result of the claim; not null
 * @param retryAfterMs delay before the next attempt; milliseconds
 * @param routersDigest the digest from the request
 * @since 0.1
 */
public record IntentClaimReply(
    CellId cell,
    RouterId replica,
    OperationId operation,
    RequestId request,
    IntentAnswer answer,
    long retryAfterMs,
    long routersDigest)
    implements PeerMessage {}
