package io.cuminvalve.core.protocol;

import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.table.TableVersion;
import java.util.List;

/**
 * Reply of a router to a {@link Heartbeat}; acknowledges the installed table version.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param incarnation the sender's incarnation; not null
 * @param term the highest term seen by the sender
 * @param round the round of the heartbeat being answered
 * @param learned whether the sender counts as a witness, which it does once it has caught up after
 *     its start
 * @param version the newest installed table version; not null
 * @param configRevision the newest installed configuration revision
 * @param dispatchRemainingMs the longest remaining validity of any grant issued under an earlier
 *     version, in milliseconds on the sender's clock; the full route lease length if the sender may
 *     have lost track of its grants
 * @param observations target observations since the last reply; not null
 * @since 0.1
 */
public record HeartbeatReply(
    CellId cell,
    RouterId router,
    Incarnation incarnation,
    long term,
    long round,
    boolean learned,
    TableVersion version,
    long configRevision,
    long dispatchRemainingMs,
    List<TargetObservation> observations)
    implements PeerMessage {}
