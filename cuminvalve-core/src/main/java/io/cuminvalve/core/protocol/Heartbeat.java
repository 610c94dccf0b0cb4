package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.table.TableVersion;

/**
 * Sent periodically by the term holder to each registered router.
 *
 * @param cell the cell; not null
 * @param term the sender's term; the receiver rejects tables of lower terms from then on
 * @param round number of the heartbeat, increasing per sender; echoed in the reply
 * @param version the sender's newest table version; not null
 * @param configRevision the sender's newest configuration revision
 * @since 0.1
 */
public record Heartbeat(
    CellId cell, long term, long round, TableVersion version, long configRevision)
    implements PeerMessage {}
