package io.cuminvalve.core.protocol;

import io.cuminvalve.core.admission.PermitInUse;
import io.cuminvalve.core.id.CellId;
import io.cuminvalve.core.id.Incarnation;
import io.cuminvalve.core.id.RouterId;
import io.cuminvalve.core.table.TableVersion;
import java.util.List;

/**
 * Reply to a {@link PermitReportRequest}: the permits that the sender holds for the targets of that
 * gate. The sender accepts no further grants from earlier gates of these targets.
 *
 * @param cell the cell; not null
 * @param router the sender; not null
 * @param incarnation the sender's incarnation; not null
 * @param version the table version installed at the sender; not null
 * @param sawEarlierRun whether the sender has seen an earlier incarnation of the gate within the
 *     maximum permit lifetime
 * @param permits the permits in use; not null
 * @since 0.1
 */
public record PermitReport(
    CellId cell,
    RouterId router,
    Incarnation incarnation,
    TableVersion version,
    boolean sawEarlierRun,
    List<PermitInUse> permits)
    implements PeerMessage {}
