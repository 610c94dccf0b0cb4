package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.intent.IntentEntry;
import io.cuminvalve.core.table.TableVersion;
import java.util.List;

/**
 * Returns the entries for which the requester is a replica according to the sender's registered
 * routers.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param incarnation the sender's incarnation; not null
 * @param version the table version installed at the sender; not null
 * @param nonce the nonce of the request
 * @param completeVersion the newest table version for which the sender's entries were complete; not
 *     null
 * @param completeRouters the routers registered in that version; not null
 * @param entries one batch of entries; not null
 * @param last whether this is the last batch
 * @param restarted routers that restarted within the retention time, as seen by the sender, and may
 *     have lost claims; not null
 * @since 0.1
 */
public record IntentPullReply(
    CellId cell,
    RouterId router,
    Incarnation incarnation,
    TableVersion version,
    long nonce,
    TableVersion completeVersion,
    List<RouterId> completeRouters,
    List<IntentEntry> entries,
    boolean last,
    List<RouterId> restarted)
    implements PeerMessage {}
