package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.table.TableVersion;

/**
 * Requests the receiver's intent entries after a change of the registered routers or a restart of
 * the sender.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param incarnation the sender's incarnation; not null
 * @param version the table version installed at the sender; not null
 * @param nonce correlates the reply with the request
 * @since 0.1
 */
public record IntentPullRequest(
    CellId cell, RouterId router, Incarnation incarnation, TableVersion version, long nonce)
    implements PeerMessage {}
